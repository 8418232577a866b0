#!/usr/bin/env bash
# Regenerates schema/generated from the .proto files; needs protobuf-compiler.
set -euo pipefail
cd "$(dirname "$0")"
protoc --cpp_out=generated ./*.proto
