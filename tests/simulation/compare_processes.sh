#!/usr/bin/env bash
# Runs a seed in several processes with different address layouts and compares the state hashes.
# Arguments: the program, the seed, the number of events.
set -euo pipefail
hashes=$(for pages in 0 3 7 64; do
    "$1" --seed "$2" --events "$3" --heap_offset_pages "$pages" | grep -o 'state_hash=[0-9a-f]*'
done)
echo "$hashes"
[ "$(echo "$hashes" | wc -l)" = 4 ] && [ "$(echo "$hashes" | sort -u | wc -l)" = 1 ]
