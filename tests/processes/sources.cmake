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
