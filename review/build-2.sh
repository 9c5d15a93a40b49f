#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. The build of the deploy file comes before it.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target/review-2
GOWORK=off go build -o ../../target/review-2/rig .
