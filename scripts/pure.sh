#!/usr/bin/env bash
# Checks that core contains only decision logic, without sockets, files, clocks, goroutines
# or global randomness, so that every decision can be replayed with a virtual clock.
set -euo pipefail
cd "$(dirname "$0")/../core"
bad=0
report() {
  if [ -n "$2" ]; then
    echo "core must not $1:" >&2
    echo "$2" >&2
    bad=1
  fi
}
sources=$(git ls-files '*.go' | grep -v '_test\.go$')
report "import I/O packages" "$(grep -nE '^\s*"(net|net/.*|os|os/.*|syscall|io/fs|crypto/rand|log|log/.*)"$' $sources || true)"
report "read a clock" "$(grep -nE 'time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\(' $sources || true)"
report "start goroutines" "$(grep -nE '^\s*go (func|[a-zA-Z_.]+\()' $sources || true)"
report "use global randomness" "$(grep -nE 'rand\.(N|Int|IntN|Uint64|Float64|Perm|Shuffle|ExpFloat64)\(' $sources || true)"
exit "$bad"
