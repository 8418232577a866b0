# Real processes under faults from outside. Two short seeds here; more by the environment variables
# that the tests name.
add_library(soak_disk_faults MODULE soak/disk_faults.cpp)
add_library(soak_network_faults MODULE soak/network_faults.cpp)
target_include_directories(soak_network_faults PRIVATE ${PROJECT_SOURCE_DIR})
foreach(library soak_disk_faults soak_network_faults)
  target_link_libraries(${library} PRIVATE ${CMAKE_DL_LIBS})
endforeach()

function(savoryreach_soak name)
  cmake_parse_arguments(arg "" "" "PROPERTIES" ${ARGN})
  add_executable(${name} ${arg_UNPARSED_ARGUMENTS} processes/child_process.cpp)
  target_compile_definitions(${name} PRIVATE
    SAVORYREACH_DAEMONS="${PROJECT_BINARY_DIR}/daemons"
    SAVORYREACH_DISK_FAULTS="$<TARGET_FILE:soak_disk_faults>"
    SAVORYREACH_NETWORK_FAULTS="$<TARGET_FILE:soak_network_faults>")
  target_link_libraries(${name} PRIVATE savoryreach_platform savoryreach GTest::gtest GTest::gtest_main)
  add_dependencies(${name} savoryreach-fleet soak_disk_faults soak_network_faults)
  gtest_discover_tests(${name} DISCOVERY_TIMEOUT 60 PROPERTIES RESOURCE_LOCK processes ${arg_PROPERTIES})
endfunction()
savoryreach_soak(soak_test soak/fleet_soak_test.cpp)
savoryreach_soak(evacuation_calls_test soak/evacuation_calls_test.cpp)
savoryreach_soak(front_calls_test soak/front_calls_test.cpp)
savoryreach_soak(deployment_soak_test soak/deployment_soak_test.cpp)
savoryreach_soak(core_repair_test soak/core_repair_test.cpp)
savoryreach_soak(held_connections_test soak/held_connections_test.cpp)
# Bounds of memory, with a crowd of connections: nothing runs beside them.
savoryreach_soak(outside_limits_test soak/outside_limits_test.cpp PROPERTIES RUN_SERIAL TRUE)
savoryreach_soak(relay_soak_test soak/relay_test.cpp)
