#!/usr/bin/env bash
# Builds the stand-ins and scripts of the second review into target/review-2. Needs only packages of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-unused-result -pthread)
libraries=($(pkg-config --cflags --libs cpp-httplib jsoncpp))
jobs=()
for source in review/standins-2/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ "${flags[@]}" "$source" -o "target/review-2/$name" "${libraries[@]}" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
