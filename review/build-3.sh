#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases into target/.
set -euo pipefail
cd "$(dirname "$0")/standin3"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/standin3 .
