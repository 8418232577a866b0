target_sources(savoryreach PRIVATE
  config/declaration.cpp
  config/declaration_file.cpp
  config/effective_config.cpp
  config/json_text.cpp)
