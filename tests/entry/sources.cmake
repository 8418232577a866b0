# Tests of this folder.
include(entry/policy_sources.cmake)
