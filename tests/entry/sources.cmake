# Tests of this folder.
savoryreach_test(entry_test
  entry/entry_agent_test.cpp
  entry/entry_cluster_test.cpp
  entry/entry_fixture.cpp
  entry/entry_submission_test.cpp
  entry/fake_agent.cpp
  entry/fake_keeper.cpp
  entry/refused_requests_test.cpp
  entry/router_test.cpp)
include(entry/policy_sources.cmake)
