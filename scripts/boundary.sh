#!/usr/bin/env bash
# The users' platform has names of its own for headers and calls. They stand in
# platform/ and deploy/ only: the product speaks its own words, and another
# platform needs another such folder and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(grep -ohE '"(Cactuspath-[A-Za-z-]+|/cactuspath/[a-z]+)' platform/*.go | tr -d '"' | sort -u)
if [ -z "$names" ]; then
  echo "no name of the platform found in platform/; adapt this check" >&2
  exit 1
fi
found=$(git ls-files '*.go' '*.proto' '*.sh' '*.jsonc' | grep -vE '^(platform|deploy)/' | xargs grep -nFi -e "$names" || true)
if [ -n "$found" ]; then
  echo "names of the platform outside platform/ and deploy/:" >&2
  echo "$found" >&2
  exit 1
fi
lines=$(git ls-files 'platform/*.go' | grep -v '_test\.go$' | xargs cat | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "platform/ has $lines lines; it only translates, so keep it under 1500" >&2
  exit 1
fi
