#!/usr/bin/env bash
# Checks the formatting, runs the linters and then all tests of the three modules.
set -euo pipefail
cd "$(dirname "$0")/.."

echo "== gofmt"
unformatted=$(git ls-files '*.go' | xargs gofmt -l)
if [ -n "$unformatted" ]; then
  echo "not formatted; run gofmt -w on:" >&2
  echo "$unformatted" >&2
  exit 1
fi

echo "== core has no I/O, clocks, goroutines or global randomness"
./scripts/pure.sh

echo "== platform names occur only in platform/ and deploy/"
./scripts/boundary.sh

echo "== platform build"
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"

echo "== go vet"
go vet work

echo "== staticcheck"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && GOWORK=off go build -o "$bin/staticcheck" honnef.co/go/tools/cmd/staticcheck)
for module in . api core; do
  (cd "$module" && "$bin/staticcheck" ./...)
done

# Tests that fail because of a known fault are printed and skipped (scripts/known-red.sh).
known='^$'
if [ -s KNOWN-RED.txt ]; then
  echo "== known failures"
  cat KNOWN-RED.txt
  pattern=$(./scripts/known-red.sh KNOWN-RED.txt)
  if [ -n "$pattern" ]; then
    known=$pattern
  fi
fi

# Tests with this prefix measure the memory of processes under many clients. They run one at a time,
# with nothing beside them.
crowds='^TestCrowd'

echo "== go test"
go test -skip "$known|$crowds" work

echo "== go test of crowds"
go test -run "$crowds" -skip "$known" ./internal/e2e
