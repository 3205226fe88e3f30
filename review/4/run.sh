#!/usr/bin/env bash
# Plays the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x target/peridot-ingress ] && [ -x "target/review/case-$(basename "$case")" ] || exit 2
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
# TROUBLE=0 leaves the disruption out; the stand-in reads it.
TROUBLE=${TROUBLE:-1}
export WORK TROUBLE RECORD="$case/record.txt"
timeout --signal=KILL 118 "target/review/case-$(basename "$case")"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
