#!/usr/bin/env bash
# Checks that the decision core (core/) is free of side effects. Fails if one of
# its packages imports I/O, logging, synchronization, context, global randomness
# (math/rand, but not math/rand/v2) or a framework, or if its non-test code reads a
# clock, uses a timer or starts a goroutine. Only core/errkind may import net/http,
# for the status constants.
set -euo pipefail
cd "$(dirname "$0")/.."
forbidden='^(os|os/.*|io/ioutil|net|net/.*|syscall|sync|sync/.*|log|log/.*|math/rand|context|time/tzdata|go\.uber\.org/.*|google\.golang\.org/.*|github\.com/prometheus/.*)$'
bad=$(go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' ./core/... |
  awk 'NF == 2' | grep -v '^plantainfield.example/core/errkind net/http$' |
  awk -v re="$forbidden" '$2 ~ re' || true)
if [ -n "$bad" ]; then
  printf 'the decision core must not import:\n%s\n' "$bad" >&2
  exit 1
fi
clock=$(git grep -n -E 'time\.(Now|Since|After|Sleep|Tick|NewTimer|NewTicker)\(|^\s*go func|\bgo [a-z]+\(' -- 'core/*.go' ':!*_test.go' || true)
if [ -n "$clock" ]; then
  printf 'the decision core must not read a clock or start goroutines:\n%s\n' "$clock" >&2
  exit 1
fi
