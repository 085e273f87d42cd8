#!/bin/sh
# Builds what the scripts of the second review start beside the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/review-2 ./review/_rig2
