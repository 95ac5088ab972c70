#!/usr/bin/env bash
# UNASKED: exits with 1 if a cancelled job went on. TROUBLE=0: no process stands still.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
exec target/jdk/bin/java -Xmx1g -cp target/review StaleCancel "$here/record.txt"
