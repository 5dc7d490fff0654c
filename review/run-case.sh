#!/usr/bin/env bash
# Runs a case with the stand-ins of review/build.sh and ends what it started: run-case.sh CASE FOLDER
set -u
cd "$(dirname "$0")/.."
REVIEW_PROCESSES=$(mktemp) || exit 2
export REVIEW_PROCESSES
program=""
end_all() {
    local pid
    [ -n "$program" ] && kill "$program" 2>/dev/null
    while read -r pid; do
        case "$(cat "/proc/$pid/comm" 2>/dev/null)" in toucanring*) kill -9 "$pid" 2>/dev/null ;; esac
    done <"$REVIEW_PROCESSES"
    rm -f "$REVIEW_PROCESSES"
}
trap end_all EXIT
trap 'exit 2' TERM INT HUP
target/review/release/review-standin "$1" "$2" &
program=$!
wait "$program"
code=$?
program=""
exit "$code"
