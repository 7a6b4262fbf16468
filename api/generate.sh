#!/usr/bin/env bash
# Regenerates the committed wire code. The build and CI do not need this.
# Needs: protoc 3.21, protoc-gen-go v1.36.12, protoc-gen-connect-go v1.21.1.
set -euo pipefail
cd "$(dirname "$0")"
protoc -I . \
  --go_out=. --go_opt=module=cactuspath/api \
  --connect-go_out=. --connect-go_opt=module=cactuspath/api \
  cactuspath/v1/*.proto
