#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
cmake --preset release >/dev/null
cmake --build --preset release
ctest --test-dir build --output-on-failure -j "$(nproc)"
