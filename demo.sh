#!/usr/bin/env bash
# Installs the packages, builds, starts a small cluster on loopback, sends a job and prints its answer.
set -euo pipefail
cd "$(dirname "$0")"
.ci/install
cmake --preset release >/dev/null
cmake --build --preset release | tail -n 1
rm -rf run
. examples/cluster.sh
trap stop_cluster EXIT
start_cluster
# The agents announce themselves within their first heartbeats.
sleep 1
echo "job:"
cat examples/job.json
echo "answer:"
curl -s -X POST --data-binary @examples/job.json \
    -w 'status %{http_code}, response time %{time_total} s, ideal 0.1 s\n' 127.0.0.1:8081/v1/jobs
