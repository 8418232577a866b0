target_sources(savoryreach PRIVATE
  storage/file_log_storage.cpp
  storage/log_recovery.cpp
  storage/numbered_name.cpp
  storage/posix_disk.cpp
  storage/posix_file.cpp
  storage/record_log.cpp
  storage/segment_writer.cpp
  storage/snapshot_file.cpp)
