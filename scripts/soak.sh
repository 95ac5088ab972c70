#!/usr/bin/env bash
# Plays seeds of the soak of the platform's processes; docs/operations/soak.md tells what it does.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ $# -lt 2 ]]; then
    echo "usage: scripts/soak.sh FIRST LAST [SECONDS]" >&2
    exit 2
fi
JAVA_HOME=$(bin/find-jdk)
export JAVA_HOME
exec mvn --batch-mode -q -pl platform -am -Dtest=SoakTest -Dsurefire.failIfNoSpecifiedTests=false \
    -Dsoak.first="$1" -Dsoak.last="$2" -Dsoak.seconds="${3:-12}" test
