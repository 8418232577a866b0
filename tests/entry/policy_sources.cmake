savoryreach_test(policy_test
  entry/admission_test.cpp
  entry/fair_queue_test.cpp
  entry/placement_test.cpp
  entry/recent_demand_test.cpp)
