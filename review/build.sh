#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../bin/standin .
