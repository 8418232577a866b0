target_sources(savoryreach PRIVATE
  keeper/agent_table.cpp
  keeper/claim_batcher.cpp
  keeper/claim_table.cpp
  keeper/config_table.cpp
  keeper/durable_log.cpp
  keeper/epoch_table.cpp
  keeper/keeper_members.cpp
  keeper/keeper_core.cpp
  keeper/keeper_service.cpp
  keeper/keeper_service_requests.cpp
  keeper/lease_table.cpp
  keeper/ledger.cpp
  keeper/replicated_log.cpp
  keeper/replicated_log_commit.cpp
  keeper/replicator.cpp
  keeper/snapshot_receiver.cpp)
