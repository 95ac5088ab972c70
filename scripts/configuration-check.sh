#!/usr/bin/env bash
# Checks what operators are promised about the configuration, against a deployment of separate processes.
#
#   scripts/configuration-check.sh [--changes NUMBER] [FOLDER] [LAYOUT OPTION...]
#
# FOLDER takes settings, logs and answers; without one a new folder under the temporary folder is made. NUMBER changes are
# timed, 50 without the option. Prints one line a step, and ends with 1 unless all passed. Needs curl and jq.
set -euo pipefail
export LC_ALL=C

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly EXAMPLES=$root/examples/resources/jylland
readonly PATIENCE_SECONDS=40
readonly RACES=10
readonly GOAL_MILLIS=1000
readonly SECONDS_A_DAY=86400

changes=50
if [[ "${1:-}" == --changes ]]; then
    changes=$2
    shift 2
fi
folder=${1:-$(mktemp -d)/run}
shift $(($# >= 1 ? 1 : 0))
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)

failures=0
reason=""
note=""
status=""
body=""
entries=()
log=""

# --- steps ---

step() {
    local title=$1 begun=$SECONDS
    shift
    reason="" note=""
    if "$@"; then
        echo "pass  $title${note:+: $note} ($((SECONDS - begun)) s)"
    else
        echo "fail  $title: ${reason:-see $folder} ($((SECONDS - begun)) s)"
        failures=$((failures + 1))
    fi
}

# Notes why a step fails; is false, so that 'condition || because WHY || return 1' leaves the step.
because() {
    reason=$*
    return 1
}

# Tries a command again until it succeeds.
eventually() {
    local deadline=$((SECONDS + PATIENCE_SECONDS))
    until "$@"; do
        ((SECONDS < deadline)) || return 1
        sleep 0.1
    done
}

# --- requests ---

# Sends a request; leaves its HTTP status in 'status' and the answer in 'body'. An entry that does not answer gives 000.
request() {
    local method=$1 url=$2 answer
    shift 2
    answer=$(curl --silent --max-time 30 --write-out '\n%{http_code}' --request "$method" \
        --header 'Chivetally-Operator: check' --header 'Content-Type: application/json' "$@" "$url") || true
    status=${answer##*$'\n'}
    body=${answer%$'\n'*}
}

field() {
    jq --raw-output "$1" <<<"$body"
}

team() {
    echo "{\"labels\":{\"owner\":\"check\"},\"spec\":{\"maximumRunning\":$1}}"
}

# Writes a team over a version at an entry.
put_team() {
    local entry=$1 name=$2 based_on=$3 most=$4
    request PUT "$entry/v1/teams/$name?basedOn=$based_on" --data-binary "$(team "$most")"
}

set_faults() {
    request PUT "$log/faults" --data-binary "$1"
    [[ "$status" == 200 ]] || because "the log's stand-in refused faults: $body"
}

version_at() {
    request GET "$1/v1/configuration/status"
    field '.version // empty'
}

has_version() {
    local version
    version=$(version_at "$1")
    [[ -n "$version" ]] && ((version >= $2))
}

# Prints all that is declared at an entry, without what differs from moment to moment.
declared_at() {
    local kind
    for kind in backendservers services teams routings; do
        curl --silent --max-time 10 "$1/v1/$kind" | jq --compact-output '.items[] | del(.status)' || return 1
    done
}

# Waits until all entries have a version, and compares what they have.
all_agree() {
    local version=$1 first other entry
    for entry in "${entries[@]}"; do
        eventually has_version "$entry" "$version" || because "$entry has no version $version" || return 1
    done
    first=$(declared_at "${entries[0]}")
    for entry in "${entries[@]:1}"; do
        other=$(declared_at "$entry")
        [[ "$other" == "$first" ]] || because "$entry and ${entries[0]} differ" || return 1
    done
}

# Runs the command line against an entry; leaves the exit code in 'status' and both outputs in 'body'.
command_line() {
    local entry=$1
    shift
    status=0
    body=$("$root/bin/chivetally" "$@" --entry "$entry" 2>&1) || status=$?
}

processes() {
    local action=$1
    shift
    "$root/scripts/processes.sh" "$action" "$folder/deployment" "$@"
}

# --- declaring ---

applies_examples() {
    command_line "${entries[0]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || because "apply ended with $status: $body" || return 1
    all_agree "$(version_at "${entries[0]}")" || return 1
    [[ -n "$(declared_at "${entries[2]}")" ]] || because "nothing is declared" || return 1
    note="$(declared_at "${entries[2]}" | wc -l) resources at each entry"
}

applies_nothing_twice() {
    local before
    before=$(version_at "${entries[0]}")
    command_line "${entries[1]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || because "apply ended with $status: $body" || return 1
    [[ "$(version_at "${entries[1]}")" == "$before" ]] || because "the version moved from $before"
}

gets_and_describes() {
    command_line "${entries[1]}" get services
    [[ "$status" == 0 && "$body" == *service/photo-check*in-force* ]] || because "get: $body" || return 1
    command_line "${entries[2]}" describe services photo-check
    [[ "$status" == 0 ]] || because "describe ended with $status: $body" || return 1
    local part
    for part in version: changedBy: changedAt: speculate: ageMillis:; do
        [[ "$body" == *"$part"* ]] || because "describe shows no $part" || return 1
    done
}

bad_folder() {
    mkdir -p "$folder/bad"
    cp "$EXAMPLES"/*.yaml "$folder/bad"
    sed -i 's/weight: 4/weight: 5/' "$folder/bad/teams.yaml"
    printf '%s\n' 'kind: service' 'name: Bad Name' 'spec:' '  idempotent: maybe' '  deadline: 5 parsecs' \
        '  colour: blue' >"$folder/bad/broken.yaml"
}

refuses_bad_folder() {
    local before after place
    before=$(declared_at "${entries[0]}")
    bad_folder
    command_line "${entries[0]}" apply -f "$folder/bad"
    [[ "$status" == 2 ]] || because "apply ended with $status: $body" || return 1
    for place in broken.yaml:2:7 broken.yaml:4:15 broken.yaml:5:13 broken.yaml:6:3; do
        [[ "$body" == *"$place"* ]] || because "no mistake at $place: $body" || return 1
    done
    after=$(declared_at "${entries[0]}")
    [[ "$after" == "$before" ]] || because "something changed"
}

# The command line finds mistakes before it asks; other clients must be refused by the entry just the same.
entry_refuses_bad_request() {
    local before
    before=$(declared_at "${entries[1]}")
    request POST "${entries[1]}/v1/apply" --data-binary '{"resources":[
        {"kind":"team","name":"fine","spec":{"weight":3}},
        {"kind":"team","name":"duty-rangers","spec":{"weight":0,"size":1}}]}'
    [[ "$status" == 400 ]] || because "HTTP $status: $body" || return 1
    [[ "$(field '[.mistakes[].path] | join(" ")')" == "resources[1].spec.weight resources[1].spec.size" ]] \
        || because "mistakes: $body" || return 1
    [[ "$(field '[.mistakes[].place] | join(" ")')" == "body:3:63 body:3:65" ]] || because "places: $body" || return 1
    [[ "$(declared_at "${entries[1]}")" == "$before" ]] || because "something changed"
}

previews_change_nothing() {
    local before version
    mkdir -p "$folder/preview"
    cp "$EXAMPLES"/*.yaml "$folder/preview"
    sed -i 's/weight: 4/weight: 7/' "$folder/preview/teams.yaml"
    version=$(version_at "${entries[0]}")
    before=$(declared_at "${entries[0]}")
    command_line "${entries[0]}" apply --dry-run -f "$folder/preview"
    [[ "$status" == 0 && "$body" == *duty-rangers*changed* ]] || because "dry run ($status): $body" || return 1
    command_line "${entries[1]}" diff -f "$folder/preview"
    [[ "$status" == 1 && "$body" == *weight*7* ]] || because "diff ($status): $body" || return 1
    [[ "$(version_at "${entries[0]}")" == "$version" ]] || because "the version moved" || return 1
    [[ "$(declared_at "${entries[0]}")" == "$before" ]] || because "something changed"
}

prunes() {
    mkdir -p "$folder/pruned"
    cp "$EXAMPLES"/*.yaml "$folder/pruned"
    rm "$folder/pruned/teams.yaml"
    command_line "${entries[0]}" apply --prune owner=stisporet -f "$folder/pruned"
    [[ "$status" == 0 ]] || because "apply ended with $status: $body" || return 1
    all_agree "$(version_at "${entries[0]}")" || return 1
    [[ "$(declared_at "${entries[1]}" | grep -c '"kind":"team"' || true)" == 0 ]] || because "teams are left" || return 1
    command_line "${entries[0]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || because "applying again ended with $status: $body"
}

# --- watching ---

# Makes one change and notes it as a watch must show it.
watched_change() {
    local entry=$1 type=$2 name=$3 based_on=$4 most=$5
    if [[ "$type" == deleted ]]; then
        request DELETE "$entry/v1/teams/$name?basedOn=$based_on"
    else
        put_team "$entry" "$name" "$based_on" "$most"
    fi
    [[ "$status" == 20? ]] || because "$type $name at $entry: HTTP $status: $body" || return 1
    seen=$(field .version)
    echo "$type $name $seen" >>"$folder/watch.expected"
    sleep 0.2
}

ten_changes() {
    local a=${entries[0]} b=${entries[1]} c=${entries[2]} first=0 second=0 third=0
    watched_change "$a" added one 0 1 && first=$seen || return 1
    watched_change "$b" added two 0 1 && second=$seen || return 1
    watched_change "$c" changed one "$first" 2 && first=$seen || return 1
    watched_change "$a" changed two "$second" 2 && second=$seen || return 1
    watched_change "$b" deleted one "$first" 0 || return 1
    watched_change "$c" added three 0 1 && third=$seen || return 1
    watched_change "$a" added one 0 3 && first=$seen || return 1
    watched_change "$b" changed three "$third" 2 && third=$seen || return 1
    watched_change "$c" deleted two "$second" 0 || return 1
    watched_change "$a" changed one "$first" 4
}

events() {
    jq --raw-output 'select(.type != "bookmark") | "\(.type) \(.resource.name) \(.version)"' "$1"
}

watches_every_change_once() {
    local from watch middle
    : >"$folder/watch.expected"
    from=$(version_at "${entries[0]}")
    timeout 60 "$root/bin/chivetally" watch teams --entry "${entries[1]}" --from "$from" --count 10 -o json \
        >"$folder/watch.seen" 2>"$folder/watch.notes" &
    watch=$!
    ten_changes || return 1
    wait "$watch" || because "the watch ended with $?: $(<"$folder/watch.notes")" || return 1
    diff "$folder/watch.expected" <(events "$folder/watch.seen") >"$folder/watch.difference" \
        || because "the watch differs, see $folder/watch.difference" || return 1
    # As a client that was cut off after five changes: the rest, again without a repeat or a gap.
    middle=$(sed -n '5s/.* //p' "$folder/watch.expected")
    curl --silent --max-time 3 "${entries[2]}/v1/teams?watch=true&from=$middle" >"$folder/watch.resumed" || true
    diff <(tail -n 5 "$folder/watch.expected") <(events "$folder/watch.resumed") >"$folder/watch.difference" \
        || because "the resumed watch differs, see $folder/watch.difference"
}

# One write with more changes than are kept for watches.
overflow_watches() {
    local resources
    resources=$(seq 1100 | sed 's/.*/{"kind":"team","name":"many-&","labels":{"owner":"many"}}/' | paste -s -d ,)
    request POST "${entries[0]}/v1/apply" --data-binary "{\"resources\":[$resources]}"
    [[ "$status" == 200 ]] || because "HTTP $status: $body"
}

tells_of_a_version_too_old() {
    overflow_watches || return 1
    all_agree "$(field .version)" || return 1
    request GET "${entries[1]}/v1/teams?watch=true&from=1"
    [[ "$status $(field .code)" == "410 version-too-old" ]] || because "HTTP $status: $body" || return 1
    command_line "${entries[1]}" watch teams --from 1 --count 3
    [[ "$status" == 0 && "$body" == *"listed team/"* ]] || because "watch ended with $status: $body"
}

# --- conflicts ---

# Two writers at two entries, both with the version that they have seen; leaves the winner's version in 'seen'.
race() {
    local round=$1 based_on=$2 one two codes winner loser
    curl --silent --write-out '\n%{http_code}' --request PUT --header 'Chivetally-Operator: left' \
        --data-binary "$(team "$((100 + round))")" "${entries[0]}/v1/teams/race?basedOn=$based_on" >"$folder/left" &
    one=$!
    curl --silent --write-out '\n%{http_code}' --request PUT --header 'Chivetally-Operator: right' \
        --data-binary "$(team "$((200 + round))")" "${entries[1]}/v1/teams/race?basedOn=$based_on" >"$folder/right" &
    two=$!
    wait "$one" "$two"
    codes="$(tail -n 1 "$folder/left") $(tail -n 1 "$folder/right")"
    case "$codes" in
        "20"?" 409") winner=left loser=right ;;
        "409 20"?) winner=right loser=left ;;
        *) because "round $round ended with HTTP $codes" || return 1 ;;
    esac
    seen=$(head -n 1 "$folder/$winner" | jq .version)
    [[ "$(head -n 1 "$folder/$loser" | jq '.conflicts[0].current')" == "$seen" ]] \
        || because "round $round: $loser was not told version $seen: $(<"$folder/$loser")" || return 1
    [[ "$(head -n 1 "$folder/$loser" | jq --raw-output '.conflicts[0].changedBy')" == "$winner" ]] \
        || because "round $round: $loser was not told of $winner" || return 1
    wins[$winner]=$((${wins[$winner]} + 1))
}

one_writer_wins() {
    local round
    local -A wins=([left]=0 [right]=0)
    seen=0
    for ((round = 1; round <= RACES; round++)); do
        race "$round" "$seen" || return 1
        all_agree "$seen" || return 1
        request GET "${entries[2]}/v1/teams/race"
        [[ "$(field .version)" == "$seen" ]] || because "round $round: $body is not the winner's" || return 1
    done
    note="$RACES races, won by ${wins[left]} and ${wins[right]}"
}

command_line_tells_conflict() {
    mkdir -p "$folder/stale"
    printf '%s\n' 'kind: team' 'name: race' 'spec: {weight: 9}' >"$folder/stale/race.yaml"
    command_line "${entries[0]}" apply --based-on team/race=1 -f "$folder/stale"
    [[ "$status" == 3 && "$body" == *"in version $seen"* ]] || because "apply ended with $status: $body"
}

# --- in force ---

timed_changes() {
    local number entry sent based_on=0
    : >"$folder/changes"
    for ((number = 0; number < changes; number++)); do
        entry=${entries[number % ${#entries[@]}]}
        sent=$EPOCHREALTIME
        put_team "$entry" pace "$based_on" "$((number + 1))"
        [[ "$status" == 20? ]] || because "change $number at $entry: HTTP $status: $body" || return 1
        based_on=$(field .version)
        echo "$based_on $sent $EPOCHREALTIME" >>"$folder/changes"
    done
    seen=$based_on
}

# Prints for each change: its version, milliseconds from its sending and from its answer to its being in force at the last
# of some processes. A process has a change in force from its first log line about that version or a later one.
times_to_force() {
    local files=("$@")
    awk -v day="$SECONDS_A_DAY" '
        FILENAME == ARGV[1] { version[++number] = $1; sent[number] = $2 % day; answered[number] = $3 % day; next }
        FNR == 1 { next_change = 1 }
        /event=configuration-in-force/ {
            split(substr($1, 17, 15), clock, ":")
            at = clock[1] * 3600 + clock[2] * 60 + clock[3]
            match($0, / version=[0-9]+/)
            has = substr($0, RSTART + 9, RLENGTH - 9) + 0
            while (next_change <= number && version[next_change] <= has) {
                for_all(next_change, at)
                next_change++
            }
        }
        function for_all(change, at) {
            reached[change]++
            from_sent = since(sent[change], at); from_answer = since(answered[change], at)
            if (from_sent > slowest[change]) slowest[change] = from_sent
            if (from_answer > slowest_answer[change]) slowest_answer[change] = from_answer
        }
        function since(begun, at) { return ((at < begun - day / 2) ? at + day - begun : at - begun) * 1000 }
        END {
            for (change = 1; change <= number; change++)
                if (reached[change] == ARGC - 2)
                    printf "%d %.1f %.1f\n", version[change], slowest[change], slowest_answer[change]
        }' "$folder/changes" "${files[@]}"
}

# Prints median, 99th percentile and maximum of a column, by nearest rank.
spread() {
    sort -g -k "$1,$1" | awk -v column="$1" '
        { value[NR] = $column }
        function rank(share) { place = share * NR; return int(place) + (place > int(place)) }
        END { if (NR) printf "p50 %.0f ms, p99 %.0f ms, max %.0f ms", value[rank(0.5)], value[rank(0.99)], value[NR] }'
}

report_times() {
    local what=$1 times=$2 p99
    [[ "$(wc -l <"$times")" == "$changes" ]] \
        || because "only $(wc -l <"$times") of $changes changes came into force at all $what" || return 1
    p99=$(spread 2 <"$times" | sed 's/.*p99 \([0-9]*\) ms.*/\1/')
    note="from sending $(spread 2 <"$times"); from the answer $(spread 3 <"$times"); goal p99 <= $GOAL_MILLIS ms "
    ((p99 <= GOAL_MILLIS)) && note+=met || note+=missed
}

in_force_at_entries() {
    timed_changes || return 1
    all_agree "$seen" || return 1
    times_to_force "$folder"/deployment/entry-*.log >"$folder/times-entries"
    report_times entries "$folder/times-entries"
}

agents_have_version() {
    local entry=$1 version=$2
    request GET "$entry/v1/configuration/status"
    [[ "$(field "[.processes[] | select(.role == \"agent\" and (.version // -1) < $version)] | length")" == 0 ]]
}

in_force_at_all_processes() {
    eventually agents_have_version "${entries[0]}" "$seen" \
        || because "agents without version $seen: $(field '[.processes[] | select(.state != "current").process] | join(" ")')" \
        || return 1
    times_to_force "$folder"/deployment/entry-*.log "$folder"/deployment/agent-*.log >"$folder/times-all"
    report_times processes "$folder/times-all"
}

# --- outage of the log ---

tells_nothing_was_written() {
    set_faults '{"down":true}' || return 1
    mkdir -p "$folder/outage"
    printf '%s\n' 'kind: team' 'name: outage' 'spec: {weight: 2}' >"$folder/outage/team.yaml"
    command_line "${entries[0]}" apply -f "$folder/outage"
    [[ "$status" == 4 && "$body" == *log-unavailable*"nothing was written"* ]] \
        || because "apply ended with $status: $body"
    note=$body
}

reads_go_on() {
    local entry age
    for entry in "${entries[@]}"; do
        request GET "$entry/v1/teams/race"
        [[ "$status" == 200 ]] || because "$entry: HTTP $status: $body" || return 1
        age=$(field .status.ageMillis)
        ((age > 5000)) || because "$entry shows an age of $age ms in an outage" || return 1
        [[ "$(field .status.state)" == unknown ]] || because "$entry still says $(field .status.state)" || return 1
    done
    note="age $age ms"
}

usable_with() {
    request GET "$1/v1/configuration/status"
    [[ "$status" == 200 && "$(field .usable)" == true && "$(field .version)" == "$2" ]]
}

restarted_entry_has_newest() {
    local version begun=$SECONDS
    version=$(version_at "${entries[0]}")
    processes stop-one entry-3 KILL
    processes start-one entry-3
    eventually usable_with "${entries[2]}" "$version" \
        || because "without version $version after $PATIENCE_SECONDS s: ${body:-no answer}" || return 1
    [[ "$(declared_at "${entries[2]}")" == "$(declared_at "${entries[0]}")" ]] \
        || because "it has other resources than its peers" || return 1
    request GET "$log/faults"
    [[ "$(field .down)" == true ]] || because "the log came back in between" || return 1
    note="version $version, $((SECONDS - begun)) s after the kill"
}

log_comes_back() {
    set_faults '{}' || return 1
    put_team "${entries[2]}" back 0 1
    [[ "$status" == 201 ]] || because "a write at the restarted entry: HTTP $status: $body" || return 1
    all_agree "$(field .version)" || return 1
    request GET "${entries[1]}/v1/teams/outage"
    [[ "$status" == 404 ]] || because "the write that was told as not written stands: $body"
}

write_is_decided() {
    request GET "$1/v1/writes/$2"
    [[ "$(field .state)" == applied || "$(field .state)" == conflict ]]
}

# The log takes each write and loses its answer, later than the entry waits; then the entry can't read the log either.
lost_answer_is_told_and_resolved() {
    local id entry version
    set_faults '{"lostAnswerShare":1,"lateWriteMillis":5000,"lateDuplicateMillis":1000,"readDelayMillis":15000}' || return 1
    put_team "${entries[0]}" doubt 0 1
    [[ "$status" == 503 && "$(field .code) $(field .certainty)" == "log-unavailable unknown" ]] \
        || because "HTTP $status: $body" || return 1
    id=$(field .writeId)
    set_faults '{}' || return 1
    for entry in "${entries[@]}"; do
        eventually write_is_decided "$entry" "$id" || because "$entry does not know of $id: $body" || return 1
        [[ "$(field .state)" == applied ]] || because "$entry: $body" || return 1
        version=$(field .version)
    done
    all_agree "$version" || return 1
    curl --silent --max-time 2 "${entries[1]}/v1/teams?watch=true&from=$((version - 1))" >"$folder/doubt" || true
    [[ "$(events "$folder/doubt")" == "added doubt $version" ]] || because "it took effect twice: $(events "$folder/doubt")"
}

# --- silent sources ---

state_is() {
    request GET "$1/v1/backendservers/minion-1"
    [[ "$(field .status.state)" =~ ^($2)$ ]]
}

await_state() {
    local entry
    for entry in "${entries[@]}"; do
        eventually state_is "$entry" "$1" || because "$entry does not come to $1: $(field .status)" || return 1
    done
}

# A source that speaks must not be called unknown between two of its reports.
stays_ready() {
    local entry deadline=$((SECONDS + 8))
    while ((SECONDS < deadline)); do
        for entry in "${entries[@]}"; do
            state_is "$entry" ready || because "$entry says of an idle server: $(field .status)" || return 1
        done
        sleep 0.1
    done
}

silent_source_is_unknown() {
    local begun
    request PUT "${entries[0]}/v1/backendservers/minion-1?basedOn=0" \
        --data-binary '{"spec":{"service":"trail-report-routing"}}'
    [[ "$status" == 201 ]] || because "HTTP $status: $body" || return 1
    await_state ready || return 1
    stays_ready || return 1
    begun=$SECONDS
    processes signal-one agent-1 STOP
    await_state unknown || { processes signal-one agent-1 CONT && return 1; }
    note="unknown at all entries $((SECONDS - begun)) s after the agent was paused"
    begun=$SECONDS
    processes signal-one agent-1 CONT
    await_state ready || return 1
    note+=", ready again $((SECONDS - begun)) s after it went on"
}

# Within one start of a process every version in force is greater than the one before.
no_process_goes_back() {
    local steps back
    back=$(sed -n 's/.*event=configuration-in-force version=\([0-9]*\) before=\([0-9]*\).*/\1 \2/p' \
        "$folder"/deployment/*.log | awk '{ steps++; if ($1 <= $2) back++ } END { printf "%d %d", steps, back }')
    read -r steps back <<<"$back"
    ((steps > 0 && back == 0)) || because "$back of $steps steps went back" || return 1
    note="$steps steps at all processes"
}

# --- the run ---

starts() {
    processes start "$@" >"$folder/start" 2>&1 || because "see $folder/start" || return 1
    mapfile -t entries <"$folder/start"
    log=$(sed -n 's/.*name: log, url: "\(.*\)".*/\1/p' "$folder/deployment/targets.yaml")
    ((${#entries[@]} == 3)) || because "three entries are needed, not ${#entries[@]}"
}

for needed in curl jq; do
    command -v "$needed" >/dev/null || { echo "configuration-check.sh: $needed is not installed" >&2 && exit 1; }
done
trap 'processes stop' EXIT
step "the deployment starts" starts "$@"
((failures == 0)) || exit 1
step "apply of the examples is in force at every entry" applies_examples
step "the same files again change nothing" applies_nothing_twice
step "get and describe show specification and status" gets_and_describes
step "a folder with one bad file is refused as a whole, with every mistake's place" refuses_bad_folder
step "a request with one bad resource is refused as a whole by the entry" entry_refuses_bad_request
step "dry run and diff show changes and make none" previews_change_nothing
step "what a folder no longer declares is pruned" prunes
step "a watch shows ten changes at three entries once, in order, without a gap" watches_every_change_once
step "of two writers on one version one wins, and the other is told the winner's version" one_writer_wins
step "the command line tells a conflict" command_line_tells_conflict
step "$changes changes come into force at every entry" in_force_at_entries
step "the same changes come into force at every process" in_force_at_all_processes
step "with the log down a write ends as not written" tells_nothing_was_written
step "with the log down reads go on and show their age" reads_go_on
step "an entry restarted with the log down has its peers' newest configuration" restarted_entry_has_newest
step "with the log back all entries agree, and the refused write never happened" log_comes_back
step "a write whose answer was lost is told as unknown, and found applied once" lost_answer_is_told_and_resolved
step "a status whose source is silent is unknown" silent_source_is_unknown
step "a watch from a version too old is told so, and the command line lists again" tells_of_a_version_too_old
step "no process goes back to an older version" no_process_goes_back
echo "settings, logs and answers are in $folder"
if ((failures > 0)); then
    echo "$failures step(s) failed"
    exit 1
fi
