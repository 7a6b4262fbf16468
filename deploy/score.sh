#!/usr/bin/env bash
# Scores every site of deploy/sites.txt and prints one line a site: its gate, the mean
# worth of its standard days that are not quiet, the lowest of these, and rules broken.
#
#   deploy/score.sh BENCH FOLDER "WHY"
#
# BENCH is the users' bench, FOLDER that of their pages, WHY a line for the journal. The
# bench's own output goes to the folder named by SCORE_LOGS, a new one if it is not set.
set -euo pipefail
if [ $# -ne 3 ]; then
  echo 'use: deploy/score.sh BENCH FOLDER "WHY"' >&2
  exit 2
fi
bench=$1 folder=$2 why=$3
logs=${SCORE_LOGS:-$(mktemp -d)}
cd "$(dirname "$0")/.."
printf '%-34s %-7s %6s %6s  %s\n' site gate mean lowest broken
failed=0
while read -r site jobs; do
  if [[ -z "$site" || "$site" == \#* ]]; then
    continue
  fi
  name=$(basename "$site" .toml)
  out="$logs/$name.txt"
  "$bench" score "$folder/$site" --jobs "$jobs" --why "$why" >"$out" 2>&1 </dev/null || true
  gate=$(sed -n 's/^GATE \([a-z]*\).*/\1/p' "$out" | head -1)
  [ "$gate" = passed ] || failed=1
  awk -v site="$name" -v gate="${gate:-none}" '
    $1 ~ /^(trouble|scale)-[0-9]+$/ && $4 ~ /^-?[0-9.]+$/ {
      sum += $4; n++
      if (n == 1 || $4 < low) low = $4
      if (match($0, /BROKEN:[^(]*/)) broken = broken " " $1 " " substr($0, RSTART + 8, RLENGTH - 8)
    }
    END { printf "%-34s %-7s %6s %6s  %s\n", site, gate, n ? sprintf("%.3f", sum / n) : "-", n ? sprintf("%.3f", low) : "-", broken ? broken : "-" }
  ' "$out"
done <deploy/sites.txt
echo "logs in $logs"
exit $failed
