#!/bin/sh
# Builds the stand-ins of the script cases: store, backends, clients, in one program. It
# starts the build of the deploy file, target/godwitlock-node, as separate processes.
set -e
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-rig ./review/_rig
