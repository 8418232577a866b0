#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review/$(basename "$source" .cpp)" \
        $(pkg-config --cflags --libs jsoncpp cpp-httplib) -lpthread
done
