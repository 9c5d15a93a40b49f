#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/target.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/target/standin cicadabeam/test/cmd/standin
(cd review/harness && GOWORK=off go build -o ../target/harness .)
