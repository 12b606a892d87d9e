#!/usr/bin/env bash
# Plays the case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2
# if the case could not run. TROUBLE=0 plays it without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
for program in target/cicadawalk target/review/standin; do
  if [ ! -x "$program" ]; then
    echo "$program is missing; run the build of the deploy file and review/build.sh" >&2
    exit 2
  fi
done
exec target/review/standin -case linefeed -trouble="$trouble" -record "$here/record.txt"
