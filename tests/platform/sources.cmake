savoryreach_test(platform_test
  platform/evacuation_call_test.cpp
  platform/messages_test.cpp
  platform/mutation_test.cpp)
target_link_libraries(platform_test PRIVATE savoryreach_platform)
