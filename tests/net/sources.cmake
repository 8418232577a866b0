# Tests of this folder.
savoryreach_test(session_test
  net/session_test.cpp)
