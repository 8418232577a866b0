# Real processes under faults from outside. Two short seeds here; more by the environment variables
# that the test names.
add_library(soak_full_disk MODULE soak/full_disk.cpp)
target_link_libraries(soak_full_disk PRIVATE ${CMAKE_DL_LIBS})
add_executable(soak_test soak/fleet_soak_test.cpp processes/child_process.cpp)
target_compile_definitions(soak_test PRIVATE
  SAVORYREACH_DAEMONS="${PROJECT_BINARY_DIR}/daemons"
  SAVORYREACH_FULL_DISK="$<TARGET_FILE:soak_full_disk>")
target_link_libraries(soak_test PRIVATE savoryreach_platform savoryreach GTest::gtest GTest::gtest_main)
add_dependencies(soak_test savoryreach-fleet soak_full_disk)
gtest_discover_tests(soak_test DISCOVERY_TIMEOUT 60 PROPERTIES RESOURCE_LOCK processes)
