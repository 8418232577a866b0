savoryreach_test(dispatch_test
  dispatch/core_test.cpp
  dispatch/endpoint_agent_test.cpp
  dispatch/explain_test.cpp
  dispatch/fake_endpoint.cpp
  dispatch/fleet_test.cpp
  dispatch/fleet_world.cpp
  dispatch/policy_test.cpp)
