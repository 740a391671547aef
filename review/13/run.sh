#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/gone_engine
[ -x "$program" ] && [ -x target/anvilridge_fleet ] || exit 2
exec "$program" review/13
