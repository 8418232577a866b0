# Tests of this folder.
savoryreach_test(frame_test
  net/frame_test.cpp
  net/link_hub_test.cpp
  net/listener_test.cpp
  net/memory_budget_test.cpp)
savoryreach_test(tcp_transport_test
  net/tcp_transport_test.cpp)
savoryreach_test(session_test
  net/session_test.cpp)
