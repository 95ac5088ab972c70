#!/usr/bin/env bash
# LOST: exits with 1 if an accepted job is shown as failed without cause. TROUBLE=0: no minion fails, no entry is killed.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec target/jdk/bin/java -Xmx1g -cp target/review FailuresAtTakeover "$here/record.txt"
