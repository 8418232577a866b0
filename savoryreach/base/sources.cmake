target_sources(savoryreach PRIVATE
  base/decaying_rate.cpp
  base/digest.cpp
  base/error.cpp
  base/json_line.cpp
  base/json_reader.cpp
  base/random_source.cpp
  base/system_clock.cpp)
