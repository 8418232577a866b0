savoryreach_test(daemon_test
  daemon/connection_slots_test.cpp
  daemon/core_member_test.cpp
  daemon/fatal_errors_test.cpp
  daemon/http_caller_test.cpp
  daemon/http_service_test.cpp
  daemon/run_loop_test.cpp
  daemon/settings_test.cpp
  daemon/submission_json_test.cpp)
target_compile_definitions(daemon_test PRIVATE SAVORYREACH_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
