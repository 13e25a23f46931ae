#!/bin/sh
# Runs case 3 (claim.txt) and writes record.txt beside this script. Exit code 1: the rule was broken, 0: it held, 2: the case could not
# run. TROUBLE=0 leaves the disruption out. The build of deploy/balancer.toml and review/build.sh come first.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x review/bin/case3 ] && [ -x bin/mintspring ] || exit 2
exec review/bin/case3 "$here"
