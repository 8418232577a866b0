# Sources of the processes on the users' platform.
target_sources(savoryreach PRIVATE
  daemon/agent_node.cpp
  daemon/core_member.cpp
  daemon/connection_slots.cpp
  daemon/decision_log.cpp
  daemon/fatal_errors.cpp
  daemon/descriptor_budget.cpp
  daemon/fleet_node.cpp
  daemon/http_pool.cpp
  daemon/http_service.cpp
  daemon/logger.cpp
  daemon/metrics_service.cpp
  daemon/process_setup.cpp
  daemon/rejection_log.cpp
  daemon/relay_client.cpp
  daemon/relay_service.cpp
  daemon/run_loop.cpp
  daemon/tick_loop.cpp)
