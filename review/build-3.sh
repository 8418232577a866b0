#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. The project's programs come from
# the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]/case.cpp; do
    [ -e "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 $(pkg-config --cflags cpp-httplib jsoncpp) "$case" \
        -o "target/review-3/case-$number" $(pkg-config --libs cpp-httplib jsoncpp) -pthread
done
