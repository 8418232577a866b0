savoryreach_test(storage_test
  storage/file_log_storage_test.cpp
  storage/reopen_schedule_test.cpp)
