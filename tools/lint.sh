#!/usr/bin/env bash
# Runs gofumpt, go vet and staticcheck, and checks with check-purity.sh that the
# decision core has no side effects. With --fix, only formats the code in place.
set -euo pipefail
cd "$(dirname "$0")/.."
tool() { GOWORK=off go -C tools tool -n "$1"; }
gofumpt=$(tool gofumpt)
staticcheck=$(tool staticcheck)
sources=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '\.pb\.go$')
if [ "${1:-}" = "--fix" ]; then
  echo "$sources" | xargs "$gofumpt" -w
  exit 0
fi
unformatted=$(echo "$sources" | xargs "$gofumpt" -l)
if [ -n "$unformatted" ]; then
  printf 'not formatted (run make fmt):\n%s\n' "$unformatted" >&2
  exit 1
fi
packages=(./core/... ./fleet/... ./platform/... ./standins/... ./bench/...)
go vet "${packages[@]}"
"$staticcheck" "${packages[@]}"
bash tools/check-purity.sh
echo "lint passed"
