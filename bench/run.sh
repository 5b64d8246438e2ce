#!/usr/bin/env bash
# Runs all benchmarks that docs/CAPACITY.md is based on, one at a time.
set -euo pipefail
python="${BIN:-.venv/bin}/python"
out=bench/results
mkdir -p "$out"
"$python" -m bench.capacity --output "$out/capacity.json" > /dev/null
"$python" -m bench.framing --output "$out/framing.json" > /dev/null
"$python" -m bench.path --output "$out/path.json" > /dev/null
for hosts in 3 12 25; do
    "$python" -m bench.convergence --hosts-per-zone "$hosts" \
        --output "$out/convergence-$((4 * hosts)).json" > /dev/null
done
"$python" -m bench.convergence --zones 2 --hosts-per-zone 50 \
    --output "$out/convergence-100-two-zones.json" > /dev/null
"$python" -m bench.ways --hosts-per-zone 12 \
    --output "$out/ways-48.json" > /dev/null
"$python" -m bench.report
