#!/usr/bin/env bash
# Starts a deployment of separate processes, runs a load plan with faults against it, and prints the results.
#
#   scripts/faults.sh [--plan PLAN] [--seed NUMBER] [--folder FOLDER] [LAYOUT OPTION...]
#
# PLAN is examples/load-faults.yaml by default, FOLDER a new temporary folder; it receives settings, logs, requests and the
# report. LAYOUT OPTIONs are passed to `chivetally layout`; the default is --deployment jylland --agent-relays. Exits with a
# non-zero status if a guarantee was violated, a goal was missed or a planned fault did not occur. Stops only processes that
# it has started. docs/operations/faults.md describes the table and the plan.
#
# The load tool itself neither starts nor signals processes. This script carries out the plan's actions on processes, at times
# relative to the start time that the tool writes to FOLDER/faults/begin, and records them in FOLDER/faults/done.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly BEGIN_SECONDS=120

fail() {
    echo "faults.sh: $*" >&2
    exit 1
}

processes() {
    local action=$1
    shift
    "$root/scripts/processes.sh" "$action" "$folder" "$@"
}

now_millis() {
    date +%s%3N
}

note() {
    echo "$(now_millis) $1 $2" >>"$folder/faults/done"
}

await_begin() {
    local deadline=$((SECONDS + BEGIN_SECONDS))
    until [[ -s "$folder/faults/begin" ]]; do
        ((SECONDS < deadline)) || fail "the load did not begin within $BEGIN_SECONDS s"
        kill -0 "$load" 2>/dev/null || fail "the load tool exited before the load began"
        sleep 0.05
    done
}

sleep_until() {
    local millis=$(($1 - $(now_millis)))
    if ((millis > 0)); then
        sleep "$((millis / 1000)).$(printf '%03d' $((millis % 1000)))"
    fi
}

# Stops a process and records its end; connections closed after it do not count as cut requests.
stop() {
    processes stop-one "$2" "$1"
    note ended "$2"
}

# Restarts a process once the previous one has ended; two processes cannot listen on the same port.
start() {
    while [[ -n "${2:-}" ]] && kill -0 "$2" 2>/dev/null; do
        sleep 0.05
    done
    note start "$1"
    processes start-one "$1"
}

# Stops and starts run in the background, so that a process that stops slowly does not delay the faults of others.
carry_out() {
    local what=$1 name=$2
    case "$what" in
        pause | resume | kill | terminate) note "$what" "$name" ;;
        start) ;;
        *) fail "unknown action $what" ;;
    esac
    case "$what" in
        pause) processes signal-one "$name" STOP ;;
        resume) processes signal-one "$name" CONT ;;
        kill) stop KILL "$name" & stops[$name]=$! ;;
        terminate) stop TERM "$name" & stops[$name]=$! ;;
        start) start "$name" "${stops[$name]:-}" & starts+=($!) ;;
    esac
}

# Waits for pending starts, whose processes would otherwise survive, and resumes suspended processes, which do not act on SIGTERM.
clean_up() {
    local name
    if [[ -n "$load" ]]; then
        kill "$load" 2>/dev/null || true
    fi
    wait || true
    if [[ -r "$folder/processes" ]]; then
        for name in $(cut -f 1 "$folder/processes"); do
            processes signal-one "$name" CONT
        done
        processes stop
    fi
}

plan=$root/examples/load-faults.yaml
folder=
load=
seed=()
while (($# > 0)); do
    case "$1" in
        --plan) plan=$2 ;;
        --seed) seed=(--seed "$2") ;;
        --folder) folder=$2 ;;
        *) break ;;
    esac
    shift 2
done
layout=("$@")
if ((${#layout[@]} == 0)); then
    layout=(--deployment jylland --agent-relays)
fi
folder=${folder:-$(mktemp -d)/run}
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
declare -A stops=()
declare -a starts=()

steps=$("$root/bin/chivetally" load --print-process-faults "$plan")
trap clean_up EXIT
processes start "${layout[@]}"
mkdir -p "$folder/faults"
rm -f "$folder/faults/begin" "$folder/faults/done"

"$root/bin/chivetally" load --targets "$folder/targets.yaml" --faults-folder "$folder/faults" \
    --json "$folder/report.json" --requests "$folder/requests.jsonl" "${seed[@]}" "$plan" &
load=$!
await_begin
begin=$(<"$folder/faults/begin")
while read -r millis what name; do
    [[ -n "${name:-}" ]] || continue
    sleep_until $((begin + millis))
    carry_out "$what" "$name"
done <<<"$steps"

result=0
wait "$load" || result=$?
load=
echo "settings, logs, requests and the record of actions are in $folder"
exit "$result"
