#!/usr/bin/env bash
# Runs the case on stand-ins: 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run. With TROUBLE=0 the same without the disruption.
set -uo pipefail
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.."
[ -x target/comfreydeck ] && [ -x target/review-2/cases ] || exit 2
export TROUBLE=${TROUBLE:-1}
timeout --kill-after=2 116 target/review-2/cases limit target/comfreydeck "$HERE/record.txt"
STATUS=$?
case $STATUS in 0 | 1) exit $STATUS ;; *) exit 2 ;; esac
