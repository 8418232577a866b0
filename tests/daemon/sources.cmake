savoryreach_test(daemon_test
  daemon/submission_json_test.cpp)
