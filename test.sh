#!/usr/bin/env bash
# Installs the packages, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
cmake --preset release >/dev/null
cmake --build --preset release
ctest --test-dir build --output-on-failure -j "$(nproc)"
