#!/usr/bin/env bash
# Starts one keeper, two entries, one stand-in endpoint and AGENTS agents (default 1) on loopback and
# prints what each process uses over SECONDS_IDLE (default 10) seconds without tasks, from /proc. Ends
# the processes that it started.
set -euo pipefail
cd "$(dirname "$0")/../.."
agents=${AGENTS:-1} seconds=${SECONDS_IDLE:-10} base=${BASE_PORT:-27100}
folder=$(mktemp -d run/idle.XXXXXX 2>/dev/null || { mkdir -p run; mktemp -d run/idle.XXXXXX; })
pids=() names=()
trap 'for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done; wait; rm -rf "$folder"' EXIT

settings() { # name, listen port or 0, http port, further fields
    local listen=""
    [ "$2" = 0 ] || listen="\"listen\": \"127.0.0.1:$2\","
    cat > "$folder/$1.json" <<END
{ "common": { "cluster": "idle", "name": "$1", "data_centre": "ljubljana", $listen
    "http_listen": "127.0.0.1:$3", "log_file": "$folder/$1.log",
    "keepers": [ { "name": "keeper-1", "address": "127.0.0.1:$base" } ] } $4 }
END
}
start() { # name, program
    "build/daemons/$2" --settings "$folder/$1.json" > "$folder/$1.out" 2>&1 &
    pids+=($!) names+=("$1")
}
settings keeper-1 "$base" $((base + 1)) ", \"data_folder\": \"$folder/keeper-1\""
start keeper-1 savoryreach-keeper
for n in 1 2; do
    settings "entry-$n" $((base + 2 * n)) $((base + 2 * n + 1)) ""
    start "entry-$n" savoryreach-entry
done
build/tools/standin-endpoint --listen "127.0.0.1:$((base + 8))" > "$folder/endpoint.out" 2>&1 &
pids+=($!) names+=(endpoint)
for n in $(seq "$agents"); do
    settings "agent-$n" 0 $((base + 10 + n)) \
        ", \"endpoint\": \"127.0.0.1:$((base + 8))\", \"slots\": 8"
    start "agent-$n" savoryreach-agent
done
sleep 5
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
before=()
for p in "${pids[@]}"; do before+=("$(ticks "$p")"); done
sleep "$seconds"
hz=$(getconf CLK_TCK)
for n in "${!pids[@]}"; do
    p=${pids[n]}
    awk -v name="${names[n]}" -v used=$(($(ticks "$p") - before[n])) -v s="$seconds" -v hz="$hz" '
        /^VmRSS/ { rss = $2 } /^RssAnon/ { anon = $2 } /^Threads/ { threads = $2 }
        END { printf "process=%s cpu_percent=%.2f rss_kb=%d anonymous_kb=%d threads=%d\n",
              name, 100 * used / hz / s, rss, anon, threads }' "/proc/$p/status"
done
