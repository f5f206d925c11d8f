#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.."
[ -x target/linkmast ] && [ -x target/review/backlog ] || { echo "not built"; exit 2; }
exec target/review/backlog review/2
