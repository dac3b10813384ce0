#!/bin/bash
# Two of three searchers of a service are cut off from the nodes while they run the same harmless request. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
CASE_RECORD=${CASE_RECORD:-$(cd "$(dirname "$0")" && pwd)/record.txt}
source "$(dirname "$0")/../stand2/lib.sh"
play TestCutOff
