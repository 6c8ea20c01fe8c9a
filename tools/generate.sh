#!/usr/bin/env bash
# Generates the Go code for fleet/peers/peerpb/peer.proto. Requires protoc. The
# result is committed, so that a build needs neither protoc nor its plugins.
set -euo pipefail
cd "$(dirname "$0")/.."
tool() { GOWORK=off go -C tools tool -n "$1"; }
protoc -I fleet/peers/peerpb \
  --plugin=protoc-gen-go="$(tool protoc-gen-go)" \
  --plugin=protoc-gen-go-grpc="$(tool protoc-gen-go-grpc)" \
  --go_out=fleet/peers/peerpb --go_opt=paths=source_relative \
  --go-grpc_out=fleet/peers/peerpb --go-grpc_opt=paths=source_relative \
  peer.proto
