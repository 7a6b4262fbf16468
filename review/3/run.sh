#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. See claim.txt.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/cactuspath ] || [ ! -x target/lab ]; then
  echo "build first: the build line of the deploy file, then review/build.sh" >&2
  exit 2
fi
exec target/lab stop-pipelined review/3/record.txt
