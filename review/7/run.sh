#!/usr/bin/env bash
# Shows case 7; with TROUBLE=0 it does the same without the disruption, and must pass.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../common-2/run-case.sh" 7 stop-cut
