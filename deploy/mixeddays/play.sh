#!/usr/bin/env bash
# Draws days from consecutive seeds and plays each on a site.
#
#   bash deploy/mixeddays/play.sh BENCH SITE OUT FIRST COUNT [flags of mixeddays]
#
# BENCH is the path of fleetbench, OUT a folder outside the repository. OUT/summary.txt gets a line for each day: seed, worth,
# rules broken, processes that ended by themselves, entries of the day. COUNT may be "forms": the number of forms of disruptions that
# the site plays, so that with -mode single and FIRST 0 each comes once. Day file and output stay in OUT for days that break a rule,
# have such an end or do not play. JOBS (2) days play at a time. KINDS is a file in the format of fleetbench kinds to draw from, in
# place of the list of the site: sites play more kinds than they list. WHY precedes the reason in the journal.
set -euo pipefail
if [ $# -lt 5 ]; then
  sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1 site=$2 out=$3 first=$4 count=$5
shift 5

mkdir -p "$out"
go build -o "$out/mixeddays" ./deploy/mixeddays
if [ -n "${KINDS:-}" ]; then
  cp "$KINDS" "$out/kinds.txt"
else
  "$bench" kinds "$site" > "$out/kinds.txt"
fi
if [ "$count" = forms ]; then
  count=$("$out/mixeddays" -forms -kinds "$out/kinds.txt")
fi
site_name=$(basename "$site" .toml)

# play SEED [FLAG...]
play() {
  local seed=$1 day=$out/$1.toml log=$out/$1.log name entries line rules ends
  shift
  "$out/mixeddays" -seed "$seed" -kinds "$out/kinds.txt" "$@" > "$day"
  name=$(sed -n 's/^name = "\(.*\)"$/\1/p' "$day")
  entries=$(sed -n -e 's/^closing = //p' -e 's/^  \({.*}\),$/\1/p' "$day" | tr '\n' ' ')
  "$bench" run "$site" "$day" --seed "$seed" --jobs 1 --why "${WHY:+$WHY: }day $name on $site_name: $entries" > "$log" 2>&1 || true
  line=$(grep -m1 "^$name " "$log" || true)
  if [ -z "$line" ]; then
    printf '%s - not played: %s | %s\n' "$seed" "$(grep -m1 '^fleetbench:' "$log" || tail -n 1 "$log")" "$entries" >> "$out/summary.txt"
    return
  fi
  rules=$(sed -n 's/^rules broken: //p' "$log")
  ends=$(awk '/ exits of its own$/ && $2 > 0 { print ", exits " $2 }' "$log")
  printf '%s %s %s%s | %s\n' "$seed" "$(awk '{ print $4 }' <<< "$line")" "${rules:-none}" "$ends" "$entries" >> "$out/summary.txt"
  if [ -z "$rules$ends" ]; then
    rm -f "$day" "$log"
  fi
}

export bench site out site_name
export -f play
seq "$first" $((first + count - 1)) | xargs -P "${JOBS:-2}" -I{} bash -c 'play "$@"' play {} "$@"

sort -n "$out/summary.txt"
awk '
  / not played: / { left++; next }
  { days++; if ($3 !~ /^none/) broken++; if (/, exits /) exits++; if (days == 1 || $2 < low) low = $2; if ($2 > high) high = $2 }
  END { printf "%d days, worth %s to %s, %d with a broken rule, %d with processes that ended by themselves, %d not played\n",
    days, low, high, broken, exits, left }
' "$out/summary.txt"
