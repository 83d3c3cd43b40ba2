#!/bin/sh
# Builds the scripts of cases 6 to 10 with the stand-ins that they start, after
# the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
for number in 6 7 8 9 10; do
  entry="review/$number/case.ts"
  [ -f "$entry" ] || continue
  node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 \
    --format=cjs --outfile="target/review-2/$number.cjs" --log-level=warning
done
