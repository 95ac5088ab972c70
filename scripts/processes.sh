#!/usr/bin/env bash
# Runs a deployment as separate processes on this machine: log stand-in, minions, entries and agents.
#
#   scripts/processes.sh start FOLDER [--deployment NAME] [--first-port PORT] [--minions-in-one] [--relays]
#   scripts/processes.sh start-one FOLDER NAME
#   scripts/processes.sh stop-one FOLDER NAME [SIGNAL]
#   scripts/processes.sh signal-one FOLDER NAME SIGNAL
#   scripts/processes.sh stop FOLDER
#
# 'start' writes settings, logs (NAME.log), process ids (NAME.pid) and addresses (targets.yaml) to FOLDER. Only processes
# whose ids are in FOLDER and that still run a command of FOLDER are stopped.
# CHIVETALLY_PROCESS_OPTIONS replaces the JVM options of each process.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly READY_SECONDS=60
readonly STOP_SECONDS=130
readonly DEFAULT_OPTIONS="-Xmx96m -Xss512k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ReservedCodeCacheSize=48m"

fail() {
    echo "processes.sh: $*" >&2
    exit 1
}

command_of() {
    awk -F '\t' -v name="$2" '$1 == name { print $2 }' "$1/processes"
}

names() {
    cut -f 1 "$1/processes"
}

start_one() {
    local folder=$1 name=$2 words
    words=$(command_of "$folder" "$name")
    [[ -n "$words" ]] || fail "no process $name in $folder/processes"
    # A token in the command line distinguishes the process from another one that gets the same id later.
    # shellcheck disable=SC2086 # the command consists of words
    CHIVETALLY_JAVA_OPTIONS="${CHIVETALLY_PROCESS_OPTIONS:-$DEFAULT_OPTIONS} -Dchivetally.process=$folder/$name" \
        setsid "$root/bin/chivetally" $words >>"$folder/$name.log" 2>&1 </dev/null &
    echo $! >"$folder/$name.pid"
}

# Prints the id of a process of the folder if it is still running.
running_id() {
    local folder=$1 name=$2 id
    [[ -r "$folder/$name.pid" ]] || return 0
    id=$(<"$folder/$name.pid")
    # The id may have been reused; without this check, stop would end an unrelated process.
    if tr '\0' '\n' 2>/dev/null <"/proc/$id/cmdline" | grep -qxF -- "-Dchivetally.process=$folder/$name"; then
        echo "$id"
    fi
}

signal_one() {
    local id
    id=$(running_id "$1" "$2")
    if [[ -n "$id" ]]; then
        kill "-$3" "$id" 2>/dev/null || true
    fi
}

await_end() {
    local folder=$1 name=$2 deadline=$((SECONDS + STOP_SECONDS))
    while [[ -n "$(running_id "$folder" "$name")" ]]; do
        if ((SECONDS >= deadline)); then
            echo "processes.sh: $name did not end in $STOP_SECONDS s; killed" >&2
            signal_one "$folder" "$name" KILL
        fi
        sleep 0.1
    done
    rm -f "$folder/$name.pid"
}

stop_one() {
    signal_one "$1" "$2" "${3:-TERM}"
    await_end "$1" "$2"
}

# Stops entries first, so that they can drain while agents and minions are available, and the log last.
stop_all() {
    local folder=$1 kind name
    for kind in entry agent minion relay log; do
        for name in $(names "$folder" | grep "^$kind" || true); do
            signal_one "$folder" "$name" TERM
        done
        for name in $(names "$folder" | grep "^$kind" || true); do
            await_end "$folder" "$name"
        done
    done
}

entry_urls() {
    sed -n '/^  entries:/,/^  minions:/s/.*url: "\(.*\)".*/\1/p' "$1/targets.yaml"
}

# Fails if a process has exited, for instance because its port is in use; another deployment may then answer on that port.
require_running() {
    local folder=$1 name
    for name in $(names "$folder"); do
        kill -0 "$(<"$folder/$name.pid")" 2>/dev/null || fail "$name exited during its start; see $folder/$name.log"
    done
}

# An entry is ready for load once it is connected to all agents.
is_ready() {
    local url=$1 agents=$2 usable
    curl --silent --fail --max-time 2 --output /dev/null "$url/readyz" || return 1
    usable=$(curl --silent --max-time 2 "$url/metrics" | sed -n 's/^chivetally_agents_usable{.*} \([0-9]*\).*/\1/p')
    ((${usable:-0} >= agents))
}

await_ready() {
    local folder=$1 url agents deadline=$((SECONDS + READY_SECONDS))
    agents=$(names "$folder" | grep -c '^agent')
    for url in $(entry_urls "$folder"); do
        until is_ready "$url" "$agents"; do
            require_running "$folder"
            ((SECONDS < deadline)) || fail "$url is not ready after $READY_SECONDS s; see $folder/*.log"
            sleep 0.2
        done
    done
    require_running "$folder"
}

start_all() {
    local folder=$1 name
    shift
    mkdir -p "$folder"
    [[ ! -e "$folder/processes" ]] || fail "$folder already contains a deployment"
    "$root/bin/chivetally" layout "$@" "$folder"
    for name in $(names "$folder"); do
        start_one "$folder" "$name"
    done
    trap 'stop_all "$folder"' EXIT
    await_ready "$folder"
    trap - EXIT
    entry_urls "$folder"
}

(($# >= 2)) || fail "usage: processes.sh start|start-one|signal-one|stop-one|stop FOLDER ..."
action=$1
mkdir -p "$2"
folder=$(cd "$2" && pwd)
shift 2
case "$action" in
    start) start_all "$folder" "$@" ;;
    start-one) start_one "$folder" "$@" ;;
    signal-one) signal_one "$folder" "$@" ;;
    stop-one) stop_one "$folder" "$@" ;;
    stop) stop_all "$folder" ;;
    *) fail "unknown action $action" ;;
esac
