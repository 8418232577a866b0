# Tests of this folder.
savoryreach_test(agent_test
  agent/agent_core_test.cpp
  agent/agent_random_test.cpp
  agent/scripted_cluster.cpp
  agent/start_record_test.cpp)
savoryreach_test(credit_test
  agent/credit_allocator_test.cpp)
