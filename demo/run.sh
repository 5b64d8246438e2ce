#!/usr/bin/env bash
# First run: one mesh on free loopback ports, ended by itself.
set -u
STOP_S=12
cd "$(dirname "$0")/.."
bin=${BIN:-.venv/bin}
text=${TEXT:-examples/rautasilta.yaml}
work=$(mktemp -d)
names=()
declare -A pids=()

# A program that hangs must not hang the demo: it is killed and counted.
end_within_limit() {
    local tenths
    for ((tenths = STOP_S * 10; tenths > 0; tenths--)); do
        jobs -rp | grep -qx "$1" || return 0
        sleep 0.1
    done
    kill -KILL "$1"
}

# stop KIND: ends by SIGTERM what was started as KIND-*; a program that does
# not end with exit code 0 was cut short, which fails the demo.
stop() {
    local name bad=0
    for name in "${names[@]}"; do
        [[ $name == $1* && -n ${pids[$name]:-} ]] || continue
        [ -e "$work/$name.killed" ] || kill -TERM "${pids[$name]}"
    done
    for name in "${names[@]}"; do
        [[ $name == $1* && -n ${pids[$name]:-} ]] || continue
        end_within_limit "${pids[$name]}"
        if ! wait "${pids[$name]}" 2>/dev/null && [ ! -e "$work/$name.killed" ]; then
            echo "  [FAILED] $name did not stop cleanly"
            bad=1
        fi
        unset "pids[$name]"
    done
    return $bad
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
echo "6. every program is stopped by SIGTERM, targets first"
if stop target && stop daemon && stop platform; then
    echo "  [ok] all ended with exit code 0"
else
    code=1
fi
if [ $code -ne 0 ]; then
    for log in "$work"/*.log; do
        [ -s "$log" ] && { echo "--- $(basename "$log")"; tail -n 5 "$log"; }
    done
fi
exit $code
