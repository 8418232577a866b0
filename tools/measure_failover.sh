#!/usr/bin/env bash
# Measures on the demo cluster how long callers wait when the leading keeper or an entry is killed.
# Prints one line per round: what was killed, and the response time of a job (one task of 10 ms) that
# is sent right after the kill and resent until it is answered.
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
. examples/cluster.sh
trap stop_cluster EXIT
rm -rf run
start_cluster
sleep 1

# Ends the running process $1 without warning.
kill_by_name() {
    kill -9 "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null || true
}

send_until_answered() {
    local id=$1 port=$2 begin now body
    begin=$(date +%s%N)
    while :; do
        body=$(curl -s -m 20 -X POST "127.0.0.1:$port/v1/jobs" --data-binary "{\"schema_version\":1,
          \"submission_id\":\"$id\",\"team\":\"t\",\"kind\":\"hold\",\"time_budget_ms\":15000,
          \"tasks\":[{\"payload\":\"run_ms=10\"}]}" || true)
        case "$body" in *'"complete"'*) break ;; esac
        sleep 0.02
    done
    now=$(date +%s%N)
    echo $(((now - begin) / 1000000))
}

for round in $(seq "$rounds"); do
    echo "round $round: undisturbed $(send_until_answered "calm-$round" 8081) ms"
    for k in 1 2 3; do
        if curl -s "127.0.0.1:720$k/status" | grep -q '"role" : "leader"'; then leader=$k; fi
    done
    kill_by_name "keeper-$leader"
    echo "round $round: leading keeper killed $(send_until_answered "keeper-$round" 8081) ms"
    start_process build/daemons/savoryreach-keeper --settings "examples/keeper-$leader.json"
    sleep 3
    # By the hash of its id, the home of the job is the entry that is killed or the other one.
    curl -s -m 1 -o /dev/null -X POST 127.0.0.1:8081/v1/jobs --data-binary "{\"schema_version\":1,
      \"submission_id\":\"entry-$round\",\"team\":\"t\",\"kind\":\"hold\",\"time_budget_ms\":15000,
      \"tasks\":[{\"payload\":\"run_ms=10\"}]}" &
    sleep 0.005
    kill_by_name entry-1
    echo "round $round: entry killed $(send_until_answered "entry-$round" 8082) ms"
    start_process build/daemons/savoryreach-entry --settings examples/entry-1.json
    sleep 4
done
