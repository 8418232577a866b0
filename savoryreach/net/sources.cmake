target_sources(savoryreach PRIVATE
  net/frame.cpp
  net/session.cpp
  net/tcp_connection.cpp
  net/tcp_transport.cpp)
