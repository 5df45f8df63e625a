#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# The stand-ins start the front end with the deploy file's command and end it; it ends with them in any case.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
stand_ins="$here/../../target/review/stand_ins"
[ -x "$stand_ins" ] || { echo "run review/build.sh first"; exit 2; }
timeout --signal=KILL 118 "$stand_ins" late-repeat "$here"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
