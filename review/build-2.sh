#!/bin/bash
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." && mkdir -p target && go test -c -tags review -o target/review-stand2 ./review/stand2
