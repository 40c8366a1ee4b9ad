#!/usr/bin/env bash
# Plays the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 plays it
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$run" ] || { echo "deploy/balancer.toml has no run command"; exit 2; }
program=target/review-2/release/standins-2
[ -x "$program" ] || { echo "the stand-ins are not built: review/build-2.sh"; exit 2; }
exec "$program" reuse "$here" "$run"
