#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. With TROUBLE=0 the same without the disruption. What was sent, answered
# and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
. review/standin-3/run_case.sh
run_case 9 review/9/record.txt
