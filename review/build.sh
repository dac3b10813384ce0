#!/usr/bin/env bash
# Builds the stand-ins of the scripts. The program itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-stand ./review
