target_sources(savoryreach PRIVATE
  agent/credit_allocator.cpp)
