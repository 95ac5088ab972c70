#!/usr/bin/env bash
# Runs the soak test of the platform's processes for a range of seeds; see docs/operations/soak.md.
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
