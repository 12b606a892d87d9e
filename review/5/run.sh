#!/bin/sh
# One client sets long values in its session, and processes end for their memory.
# Needs the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 sets as many values of
# 100 bytes. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
exec target/review-world -case values -dir "$here" -program target/cicadawalk
