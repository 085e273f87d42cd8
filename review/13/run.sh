#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: another tenant stays when the first one is taken away.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/godwitlock-node ] && [ -x target/review-3/rig3 ] || { echo "build first" >&2; exit 2; }
exec timeout -k 5 115 target/review-3/rig3 open review/13/record.txt
