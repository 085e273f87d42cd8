#!/usr/bin/env bash
# Builds the stand-ins of the scripts of review 3. The build line of deploy/system.toml has to
# be run before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig3 ./review/_rig3
