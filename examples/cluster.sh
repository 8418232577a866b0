#!/usr/bin/env bash
# Starts and stops the demo cluster on loopback. Source it; call start_cluster, then stop_cluster.
# It ends only the processes that it started.
pids=()
declare -A pid_of # of each process with a settings file, by the file's name

start_process() {
    "$@" > "run/$(basename "$1")-${#pids[@]}.out" 2>&1 &
    pids+=($!)
    if [ "${2:-}" = --settings ]; then pid_of[$(basename "$3" .json)]=$!; fi
}

start_cluster() {
    mkdir -p run
    for k in 1 2 3; do start_process build/daemons/savoryreach-keeper --settings "examples/keeper-$k.json"; done
    for k in 1 2 3 4; do
        start_process build/tools/standin-endpoint --listen "127.0.0.1:740$k" --start_log "run/starts-$k"
        start_process build/daemons/savoryreach-agent --settings "examples/agent-$k.json"
    done
    for k in 1 2; do start_process build/daemons/savoryreach-entry --settings "examples/entry-$k.json"; done
    for _ in $(seq 200); do
        if curl -fs 127.0.0.1:8081/readyz >/dev/null && curl -fs 127.0.0.1:8082/readyz >/dev/null; then
            return 0
        fi
        sleep 0.1
    done
    echo "the cluster did not become ready; see run/" >&2
    return 1
}

# Entries and agents leave the membership through the keepers, which therefore end last.
stop_cluster() {
    stop_processes "${pids[@]:3}"
    stop_processes "${pids[@]:0:3}"
    pids=()
}

stop_processes() {
    for pid in "$@"; do kill "$pid" 2>/dev/null; done
    for pid in "$@"; do wait "$pid" 2>/dev/null; done
}
