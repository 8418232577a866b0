target_sources(savoryreach PRIVATE
  base/digest.cpp
  base/error.cpp
  base/random_source.cpp)
