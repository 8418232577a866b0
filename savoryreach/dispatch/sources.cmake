target_sources(savoryreach PRIVATE
  dispatch/admission.cpp
  dispatch/core_locator.cpp
  dispatch/core_planner.cpp
  dispatch/dispatcher.cpp
  dispatch/dispatcher_endpoints.cpp
  dispatch/endpoint_agent.cpp
  dispatch/endpoint_table.cpp
  dispatch/fleet_store.cpp
  dispatch/job_table.cpp
  dispatch/offered_load.cpp
  dispatch/placement.cpp
  dispatch/placement_index.cpp
  dispatch/queue_router.cpp
  dispatch/request_forwarder.cpp
  dispatch/speed_model.cpp
  dispatch/task_id.cpp)
