#!/bin/sh
# Builds the stand-ins that the cases of the second review start, into review/bin/.
set -e
cd "$(dirname "$0")/standin2"
GOWORK=off go build -buildvcs=false -o ../bin/standin2 .
