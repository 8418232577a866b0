# Tests of this folder.
savoryreach_test(frame_test
  net/frame_test.cpp)
savoryreach_test(session_test
  net/session_test.cpp)
