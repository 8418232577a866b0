target_sources(savoryreach PRIVATE
  entry/admission.cpp
  entry/endpoint_standing.cpp
  entry/fair_queue.cpp
  entry/kind_estimates.cpp
  entry/placement.cpp
  entry/placement_state.cpp
  entry/retry_budget.cpp
  entry/share_schedule.cpp)
