#!/usr/bin/env bash
# The users' platform has its own names for headers and URL paths. They may occur only in
# platform/ and deploy/: the product uses its own names, so that supporting another platform
# only requires another such folder.
set -euo pipefail
cd "$(dirname "$0")/.."
names=$(grep -ohE '"(Cactuspath-[A-Za-z-]+|Server-[A-Z][a-z]+|/cactuspath/[a-z]+)' platform/*.go | tr -d '"' | sort -u)
if [ -z "$names" ]; then
  echo "no platform names found in platform/; update the pattern of this check" >&2
  exit 1
fi
found=$(git ls-files '*.go' '*.proto' '*.sh' '*.jsonc' | grep -vE '^(platform|deploy)/' | xargs grep -nFi -e "$names" || true)
if [ -n "$found" ]; then
  echo "platform names outside platform/ and deploy/:" >&2
  echo "$found" >&2
  exit 1
fi
lines=$(git ls-files 'platform/*.go' | grep -v '_test\.go$' | xargs cat | wc -l)
if [ "$lines" -gt 1500 ]; then
  echo "platform/ has $lines lines; the limit is 1500, because it must only translate" >&2
  exit 1
fi
