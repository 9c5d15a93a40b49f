#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/target/harness ] && [ -x review/target/standin ] && [ -x target/cicadabeam ] || exit 2
exec timeout -k 5 110 review/target/harness stale review/4
