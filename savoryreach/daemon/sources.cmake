target_sources(savoryreach PRIVATE
  daemon/settings.cpp
  daemon/settings_table.cpp)
