#!/usr/bin/env bash
# Builds everything and runs a small system on loopback: stand-ins for the platform and the
# backend servers, and one controller and one gateway in each of two failure domains.
# Usage: scripts/quickstart.sh [--keep]
#   --keep  leave the system up after the demonstration and print its addresses
set -euo pipefail
cd "$(dirname "$0")/.."

keep=false
if [ "${1:-}" = "--keep" ]; then
    keep=true
elif [ $# -gt 0 ]; then
    echo "usage: scripts/quickstart.sh [--keep]" >&2
    exit 2
fi

cargo build --quiet --workspace --bins
bin="$PWD/${CARGO_TARGET_DIR:-target}/debug"
[ -d "$bin" ] || bin="$CARGO_TARGET_DIR/debug"
work=$(mktemp -d)
pids=()

# Stops what this script started, by process id.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

fail() {
    echo "quickstart failed: $*" >&2
    tail -n 5 "$work"/*.log >&2 || true
    exit 1
}

# start NAME PROGRAM ARGUMENT...: output goes to NAME.out, the log to NAME.log.
start() {
    local name=$1 program=$2
    shift 2
    "$bin/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

# wait_for SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_for() {
    local end=$((SECONDS + $1)) what=$2
    shift 2
    until "$@"; do
        [ $SECONDS -lt $end ] || fail "$what"
        sleep 0.05
    done
}

# address NAME WORD: prints what the process printed after WORD.
address() {
    wait_for 10 "$1 does not print its address" grep -q "^$2 " "$work/$1.out"
    sed -n "s/^$2 //p" "$work/$1.out" | head -n 1
}

call() {
    curl --silent --show-error --max-time 20 "$@"
}

succeeds() {
    call --fail --output /dev/null "$@" 2>/dev/null
}

say() {
    printf '\n== %s\n' "$*"
}

say "Starting the platform and the backend servers"
start platform standin-platform --listen 127.0.0.1:0
platform=$(address platform listening)

servers=""
for domain in val-venosta val-isarco; do
    for number in 0 1 2 3 4; do
        servers+="{\"instance\":\"$domain-m$number\",\"failure_domain\":\"$domain\",\"checks_fencing\":true},"
    done
    servers+="{\"instance\":\"$domain-p0\",\"failure_domain\":\"$domain\",\"services\":[\"ledger\"]},"
done
echo "{\"platform\":\"$platform\",\"servers\":[${servers%,}]}" >"$work/backend.json"
start backend standin-backend --settings "$work/backend.json"
control=$(address backend control)

entries=""
rows=""
for domain in val-venosta val-isarco; do
    for instance in "$domain"-m{0..4} "$domain-p0"; do
        accelerators=4
        [ "$instance" != "$domain-p0" ] || accelerators=0
        server=$(address backend "listening $instance")
        place="\"address\":\"$server\",\"failure_domain\":\"$domain\",\"fabric_domain\":\"$domain-f0\",\"accelerators\":$accelerators"
        entries+="{\"instance\":\"$instance\",$place,\"checks_fencing\":true},"
        rows+="{\"name\":\"$instance\",$place,\"state\":\"live\"},"
    done
done
call "$platform/v1/instances" --data "{\"instances\":[${rows%,}]}" >"$work/reply"

# The key digest is the blake3 digest of "quickstart-key".
cat >"$work/operator.json" <<TEXT
{
  "deployment": "quickstart",
  "planner": {"group_downtime": 3.0, "stranded_accelerators": 1.0},
  "failure_domains": [
    {"name": "val-venosta", "region": "tyrol", "fabric_domains": ["val-venosta-f0"]},
    {"name": "val-isarco", "region": "tyrol", "fabric_domains": ["val-isarco-f0"]}
  ],
  "backend_servers": [${entries%,}],
  "model_services": [
    {"name": "notes", "model": "notes-weights", "span": 4, "weight_bytes": 400000000,
     "min_groups": 1, "max_groups": 1, "weight": 1.0}
  ],
  "plain_services": [
    {"name": "ledger", "instances": ["val-venosta-p0", "val-isarco-p0"],
     "non_repeatable": [{"method": "POST", "path": "/bookings"}]}
  ],
  "request_kinds": [
    {"name": "note", "weight": 1.0, "priority": 1, "deadline_ms": 10000},
    {"name": "booking", "weight": 5.0, "priority": 0, "deadline_ms": 10000}
  ],
  "client_accounts": [
    {"name": "foundry", "key_digest": "6cb756b6b88fe3622efdb918dfd308676d7ce4784c96742cb81251a870b2b2c8",
     "requests_per_s": 100.0, "tokens_per_s": 100000.0, "concurrency": 100}
  ],
  "objective": {"completion": 0.99}
}
TEXT

say "Applying the operator text"
exchange_key=$(printf 'ab%.0s' {1..32})
peers=""
toucanctl() {
    echo "{\"platform\":\"$platform\",\"peers\":[${peers%,}],\"exchange_key\":\"$exchange_key\"}" >"$work/toucanctl.json"
    "$bin/toucanctl" --settings "$work/toucanctl.json" "$@"
}
toucanctl apply "$work/operator.json" --base 0

say "Starting a controller and a gateway in each failure domain"
start_node() {
    local name=$1 domain=$2 program=$3
    cat >"$work/$name.json" <<TEXT
{"name": "$name", "failure_domain": "$domain", "listen": "127.0.0.1:0",
 "peer_listen": "127.0.0.1:0", "peers": [${peers%,}], "platform": "$platform",
 "exchange_key": "$exchange_key", "drain_ms": 200}
TEXT
    start "$name" "$program" --settings "$work/$name.json"
    peers+="\"$(address "$name" peer)\","
}
for domain in val-venosta val-isarco; do
    start_node "$domain-controller" "$domain" toucanring-controller
    start_node "$domain-gateway" "$domain" toucanring-gateway
done
gateway=$(address val-venosta-gateway listening)
key="Authorization: Bearer quickstart-key"
prompt() {
    echo "{\"model\":\"notes\",\"max_tokens\":4,\"stream\":$1,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]}"
}

say "Waiting for the replica groups to form"
serving_groups() {
    toucanctl groups --json >"$work/groups.json" 2>"$work/toucanctl.log" &&
        [ "$(grep -o '"state": *"serving"' "$work/groups.json" | wc -l)" -eq "$1" ]
}
wait_for 20 "the groups do not form" serving_groups 2
wait_for 10 "no request is answered" succeeds "$gateway/v1/chat/completions" -H "$key" --data "$(prompt false hello)"
toucanctl groups

say "A streamed chat completion"
call "$gateway/v1/chat/completions" -H "$key" --data "$(prompt true 'mould temperature')" | tee "$work/reply"
grep -q '^data: \[DONE\]' "$work/reply" || fail "the stream is not complete"

say "A plain JSON chat completion"
call "$gateway/v1/chat/completions" -H "$key" --data "$(prompt false 'mould temperature')" | tee "$work/reply"
grep -q '"finish_reason":"stop"' "$work/reply" || fail "the answer is not complete"

say "A call of a plain service"
call "$gateway/services/ledger/entries" -H "$key" | tee "$work/reply"
grep -q '"service":"ledger"' "$work/reply" || fail "the plain service did not answer"

say "A booking that may not be repeated, sent twice with one key"
for _ in first second; do
    call "$gateway/services/ledger/bookings" -H "$key" -H "Idempotency-Key: pour-17" --data '{"day":17}' | tee "$work/reply"
    echo
done
runs=$(call "$control/control/runs?key=pour-17" | grep -o '"key":"pour-17"' | wc -l)
echo "runs: $runs"
[ "$runs" -eq 1 ] || fail "the booking ran $runs times"

member=""
for instance in val-venosta-m{0..4}; do
    server=$(address backend "listening $instance")
    if call "$server/control/report" | grep -q '"rank":2'; then member=$instance; fi
done
[ -n "$member" ] || fail "no instance of val-venosta has rank 2"

say "Killing member $member: its group leaves service"
call "$control/control/faults" --data "{\"instance\":\"$member\",\"fault\":\"die\"}" >"$work/reply"
wait_for 5 "the group stays in service" serving_groups 1
toucanctl groups

say "The spare instance takes its place"
wait_for 20 "the group is not repaired" serving_groups 2
toucanctl groups
call "$gateway/v1/chat/completions" -H "$key" --data "$(prompt false 'after the repair')" | tee "$work/reply"
grep -q '"finish_reason":"stop"' "$work/reply" || fail "the repaired system does not answer"

say "Done in $SECONDS s including the build"
if $keep; then
    trap - EXIT
    disown -a
    cat <<TEXT
The system stays up:
  gateways  $gateway $(address val-isarco-gateway listening)
  platform  $platform
  faults    $control
  logs      $work
Stop it with: kill ${pids[*]}
TEXT
fi
