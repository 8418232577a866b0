target_sources(savoryreach PRIVATE
  net/address.cpp
  net/frame.cpp
  net/link.cpp
  net/link_hub.cpp
  net/listener.cpp
  net/memory_budget.cpp
  net/session.cpp
  net/tcp_connection.cpp
  net/tcp_transport.cpp)
