#!/usr/bin/env bash
# First run: one mesh on free loopback ports, ended by itself.
set -u
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
text=${TEXT:-examples/rautasilta.yaml}
work=$(mktemp -d)
pids=()

stop() {
    # Targets leave before their daemons, and the platform goes last.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[$i]}" 2>/dev/null
    done
    wait
    rm -rf "$work"
}
trap stop EXIT

start() {
    local name=$1
    shift
    "$bin/python" -m "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    echo $! >"$work/$name.pid"
}

"$bin/python" -m demo.plan "$text" "$work" >"$work/plan.txt" || exit 1
while read -r kind a b c d; do
    case $kind in
    platform) start platform peridotpost.cli.platform --port "$a" ;;
    host)
        start "daemon-$a" peridotpost.cli.peridotd --settings "$d"
        start "target-$a" peridotpost.cli.target --service "$b" \
            --name "t-$a" --daemon-admin "http://$c"
        ;;
    esac
done <"$work/plan.txt"

"$bin/python" -m demo.drive "$work" "$text"
code=$?
if [ $code -ne 0 ]; then
    for log in "$work"/*.log; do
        [ -s "$log" ] && { echo "--- $(basename "$log")"; tail -n 5 "$log"; }
    done
fi
exit $code
