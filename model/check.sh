#!/usr/bin/env bash
# Searches the specifications exhaustively with spin: the contract must hold, and
# every faulty variant must be refuted by the counterexample in model/traces.
# `model/check.sh accept` rewrites these traces.
set -euo pipefail
cd "$(dirname "$0")"

accept=${1:-}
mkdir -p work traces
failures=0

# search NAME FILE DEFINES...: prints the numbers of errors and of stored states.
search() {
  local name=$1 file=$2
  shift 2
  local dir="work/$name"
  rm -rf "$dir" && mkdir -p "$dir" && cp "$file" "$dir/spec.pml"
  (
    set -e
    cd "$dir"
    spin -a "$@" spec.pml >spin.log || { cat spin.log >&2; exit 1; }
    gcc -O2 -DSAFETY -DCOLLAPSE -w -o pan pan.c
    ./pan -m2000000 >pan.log
    if grep -q "max search depth too small" pan.log; then
      echo "$name: the search was cut at its depth" >&2
      exit 1
    fi
    awk '/errors:/ {e=$NF} /states, stored/ {s=$1} END {print e, s}' pan.log
  )
}

holds() {
  local result
  result=$(search "$@") || { echo "$1: no result"; failures=$((failures + 1)); return; }
  echo "$1: errors ${result% *}, states ${result#* }"
  [ "${result% *}" = 0 ] || failures=$((failures + 1))
}

refuted() {
  local name=$1 result
  result=$(search "$@") || { echo "$name: no result"; failures=$((failures + 1)); return; }
  if [ "${result% *}" = 0 ]; then
    echo "$name: NOT refuted, states ${result#* }"
    failures=$((failures + 1))
    return
  fi
  (cd "work/$name" && ./pan -r spec.pml.trail >trail.log 2>/dev/null) || true
  (cd "work/$name" && spin -t "${@:3}" spec.pml) 2>&1 |
    sed -n 's/^ *\(guard\|ticket\|a gateway\|gateway\|daemon\) /\1 /p; s/.*\(assertion violated.*\)/\1/p' |
    sed 's/spec.pml:[0-9]*, //' >"work/$name/trace.txt"
  if [ "$accept" = accept ]; then cp "work/$name/trace.txt" "traces/$name.txt"; fi
  if ! cmp -s "work/$name/trace.txt" "traces/$name.txt"; then
    echo "$name: the counterexample differs from model/traces/$name.txt"
    failures=$((failures + 1))
  fi
  echo "$name: refuted"
}

holds keyed execution.pml -DKEYED
holds unkeyed execution.pml -DUNKEYED
refuted hash_live execution.pml -DKEYED -DHASH_LIVE
refuted restart_forgets execution.pml -DKEYED -DRESTART_FORGETS
refuted horizon_lost execution.pml -DKEYED -DHORIZON_LOST
refuted refuse_without_seal execution.pml -DKEYED -DREFUSE_WITHOUT_SEAL
refuted claim_after_reserve execution.pml -DKEYED -DCLAIM_AFTER_RESERVE
refuted late_run execution.pml -DUNKEYED -DLATE_RUN
refuted settle_without_seal execution.pml -DUNKEYED -DSETTLE_WITHOUT_SEAL
refuted retry_after_silence execution.pml -DUNKEYED -DRETRY_AFTER_SILENCE
refuted claim_after_silence execution.pml -DUNKEYED -DCLAIM_AFTER_SILENCE
refuted stale_refusal execution.pml -DUNKEYED -DSTALE_REFUSAL
holds answers answers.pml
refuted no_ticket_check answers.pml -DNO_TICKET_CHECK
holds revisions revisions.pml
refuted accept_lower revisions.pml -DACCEPT_LOWER
refuted accept_invalid revisions.pml -DACCEPT_INVALID
refuted serve_at_once revisions.pml -DSERVE_AT_ONCE

echo "model: $failures failed"
[ "$failures" = 0 ]
