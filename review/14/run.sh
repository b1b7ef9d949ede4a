#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0
# leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/rig3 ] && [ -x target/magnoliamount-sidecar ] || exit 2
exec target/rig3 blind-judge "$PWD" "$folder"
