#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/godwitlock-node ] && [ -x target/review-2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
timeout -k 5 110 target/review-2 failed503 review/10/record.txt
rc=$?
[ $rc -le 2 ] || rc=2
exit $rc
