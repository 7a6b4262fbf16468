#!/usr/bin/env bash
# Builds what the cases start besides the programs of the deploy file: the stand-ins, clients and checks,
# all in target/lab.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/ ./review/...
