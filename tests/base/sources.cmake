savoryreach_test(base_test
  base/digest_test.cpp
  base/error_test.cpp)
