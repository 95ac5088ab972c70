#!/usr/bin/env bash
# Creates a class data sharing (CDS) archive for each role beside the packaged jars: entry.jsa and agent.jsa.
#
#   scripts/class-archives.sh JDK FOLDER
#
# FOLDER contains chivetally.jar and its libraries in lib. The class list of each archive comes from a training run, in which a
# process of that role serves some jobs: classes of the other role would only slow down the start. The classes in the archive
# are already linked, which saves each process work. The logs are written beside the archives.
set -euo pipefail
readonly ATTEMPTS=3
java=$1/bin/java
folder=$2

# The options of deploy/system.toml that affect which classes are loaded.
options=(-XX:+UseSerialGC -XX:TieredStopAtLevel=1 --sun-misc-unsafe-memory-access=allow -Dio.netty.jfr.enabled=false
    -Djdk.reflect.useNativeAccessorOnly=true -Djava.lang.invoke.MethodHandle.CUSTOMIZE_THRESHOLD=-1)

# Runs a process of a role, with its environment in a second process, and writes the list of its loaded classes.
train() {
    local role=$1 settings=$folder/$1.yaml training_run process result=0
    rm -f "$settings"
    "$java" "${options[@]}" -cp "$folder/chivetally.jar" org.chivetally.platform.TrainingRun "$role" "$settings" &
    training_run=$!
    while [[ ! -e "$settings" ]] && kill -0 "$training_run"; do
        sleep 0.1
    done
    CHIVETALLY_SETTINGS=$settings "$java" "${options[@]}" "-XX:DumpLoadedClassList=$folder/$role.classes" \
        -Xshare:off -Xlog:disable -jar "$folder/chivetally.jar" "$role" &
    process=$!
    wait "$training_run" || result=$?
    kill -TERM "$process" || true
    wait "$process" || true
    return "$result"
}
archive() {
    "$java" "${options[@]}" -Xshare:dump "-XX:SharedClassListFile=$folder/$1.classes" \
        "-XX:SharedArchiveFile=$folder/$1.jsa" -XX:+AOTClassLinking -jar "$folder/chivetally.jar"
}
# A failed training run is repeated: another process may take a free port before the process binds it.
prepare() {
    local attempt
    for ((attempt = 1; attempt <= ATTEMPTS; attempt++)); do
        if train "$1"; then
            archive "$1"
            return
        fi
        echo "event=rehearsal-repeated role=$1 attempt=$attempt"
    done
    return 1
}

rm -f "$folder"/*.jsa "$folder"/*.classes
prepare entry >"$folder/rehearsal-entry.log" 2>&1 &
entry=$!
prepare agent >"$folder/rehearsal-agent.log" 2>&1 &
agent=$!
for role in entry agent; do
    wait "${!role}" || {
        cat "$folder/rehearsal-$role.log" >&2
        exit 1
    }
done
