#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
timeout -k 5 110 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
