target_sources(savoryreach PRIVATE
  base/digest.cpp
  base/error.cpp
  base/random_source.cpp
  base/system_clock.cpp)
