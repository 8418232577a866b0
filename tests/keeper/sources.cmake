savoryreach_test(keeper_test
  keeper/keeper_cluster.cpp
  keeper/keeper_core_test.cpp
  keeper/ledger_test.cpp
  keeper/random_faults_test.cpp
  keeper/replicated_log_test.cpp)
