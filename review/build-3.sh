#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third independent review start: one program, which also starts the processes of the system.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
go test -c -tags review3 -o target/review3/stand3 ./review/stand3
