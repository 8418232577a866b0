target_sources(savoryreach PRIVATE
  daemon/answer_waiters.cpp
  daemon/caller_api.cpp
  daemon/control_loop.cpp
  daemon/http_endpoint.cpp
  daemon/http_server.cpp
  daemon/json_rpc.cpp
  daemon/keeper_operator_api.cpp
  daemon/node.cpp
  daemon/node_transport.cpp
  daemon/operator_calls.cpp
  daemon/settings.cpp
  daemon/settings_table.cpp
  daemon/shutdown_signal.cpp
  daemon/status_pages.cpp
  daemon/submission_json.cpp
  daemon/thread_per_connection.cpp)
