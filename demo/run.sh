#!/usr/bin/env bash
# Runs one mesh on free loopback ports, checks it and stops it.
set -u
STOP_S=12
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
text=${TEXT:-examples/rautasilta.yaml}
work=$(mktemp -d)
names=()
declare -A pids=()

# Waits until a process ends; kills it after STOP_S, so that a process that
# hangs does not hang the demo.  Its exit code then fails the demo.
wait_or_kill() {
    local tenths
    for ((tenths = STOP_S * 10; tenths > 0; tenths--)); do
        jobs -rp | grep -qx "$1" || return 0
        sleep 0.1
    done
    kill -KILL "$1"
}

# stop KIND: stops the processes named KIND* by SIGTERM.  Fails if one of them
# does not exit with code 0, since it then did not shut down cleanly.
stop() {
    local name failed=0
    for name in "${names[@]}"; do
        [[ $name == $1* && -n ${pids[$name]:-} ]] || continue
        [ -e "$work/$name.killed" ] || kill -TERM "${pids[$name]}"
    done
    for name in "${names[@]}"; do
        [[ $name == $1* && -n ${pids[$name]:-} ]] || continue
        wait_or_kill "${pids[$name]}"
        if ! wait "${pids[$name]}" 2>/dev/null && [ ! -e "$work/$name.killed" ]; then
            echo "  [FAILED] $name did not stop cleanly"
            failed=1
        fi
        unset "pids[$name]"
    done
    return $failed
}

finish() {
    stop target
    stop daemon
    stop platform
    rm -rf "$work"
}
trap finish EXIT

start() {
    local name=$1
    shift
    "$bin/python" -m "$@" >"$work/$name.out" 2>"$work/$name.log" &
    names+=("$name")
    pids[$name]=$!
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
echo "6. every process is stopped by SIGTERM, targets first"
if stop target && stop daemon && stop platform; then
    echo "  [ok] all exited with code 0"
else
    code=1
fi
if [ $code -ne 0 ]; then
    for log in "$work"/*.log; do
        [ -s "$log" ] && { echo "--- $(basename "$log")"; tail -n 5 "$log"; }
    done
fi
exit $code
