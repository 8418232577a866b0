# Tests with real processes on loopback. They don't run in parallel with each other, since every
# cluster has more than ten processes and the machine is shared.
add_executable(processes_test
  processes/child_process.cpp
  processes/process_cluster.cpp
  processes/end_to_end_test.cpp)
target_compile_definitions(processes_test PRIVATE
  SAVORYREACH_DAEMONS="${PROJECT_BINARY_DIR}/daemons"
  SAVORYREACH_TOOLS="${PROJECT_BINARY_DIR}/tools")
target_link_libraries(processes_test PRIVATE savoryreach GTest::gtest GTest::gtest_main)
add_dependencies(processes_test
  savoryreach-entry savoryreach-agent savoryreach-keeper standin-endpoint)
gtest_discover_tests(processes_test DISCOVERY_TIMEOUT 60 PROPERTIES RESOURCE_LOCK processes)

add_executable(fleet_process_test
  processes/child_process.cpp
  processes/fleet_process_test.cpp)
target_compile_definitions(fleet_process_test PRIVATE
  SAVORYREACH_DAEMONS="${PROJECT_BINARY_DIR}/daemons"
  SAVORYREACH_DISK_FAULTS="$<TARGET_FILE:soak_disk_faults>"
  SAVORYREACH_NETWORK_FAULTS="$<TARGET_FILE:soak_network_faults>")
target_link_libraries(fleet_process_test PRIVATE
  savoryreach_platform savoryreach GTest::gtest GTest::gtest_main)
add_dependencies(fleet_process_test savoryreach-fleet soak_disk_faults soak_network_faults)
gtest_discover_tests(fleet_process_test DISCOVERY_TIMEOUT 60 PROPERTIES RESOURCE_LOCK processes)
