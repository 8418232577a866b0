target_sources(savoryreach PRIVATE
  observe/event_line.cpp
  observe/event_log.cpp
  observe/explanation.cpp
  observe/histogram.cpp
  observe/hybrid_clock.cpp
  observe/job_story.cpp
  observe/metrics.cpp
  observe/timeline.cpp)
target_link_libraries(savoryreach PUBLIC absl::str_format)
