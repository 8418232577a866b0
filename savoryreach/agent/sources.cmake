target_sources(savoryreach PRIVATE
  agent/agent_core.cpp
  agent/credit_allocator.cpp
  agent/credit_book.cpp
  agent/entry_session.cpp
  agent/inquiry_table.cpp
  agent/registration.cpp
  agent/run_counters.cpp
  agent/session_table.cpp
  agent/slot_table.cpp
  agent/start_record.cpp
  agent/task_runner.cpp
  agent/view_store.cpp)
