# Tests of this folder.
savoryreach_test(credit_test
  agent/credit_allocator_test.cpp)
