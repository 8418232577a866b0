target_sources(savoryreach PRIVATE
  net/session.cpp)
