savoryreach_test(observe_test
  observe/event_log_test.cpp
  observe/metrics_test.cpp
  observe/timeline_test.cpp)
