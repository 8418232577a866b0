savoryreach_test(config_test
  config/declaration_test.cpp
  config/effective_config_test.cpp)
