savoryreach_test(policy_test
  entry/fair_queue_test.cpp)
