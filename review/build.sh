#!/usr/bin/env bash
# Builds the scripts of the cases with their stand-ins (those of test/platform included) into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for main in review/[0-9]/main.ts; do
  name=$(basename "$(dirname "$main")")
  node_modules/.bin/esbuild "$main" --bundle --platform=node --target=node20 \
    --outfile="target/review/case-$name.cjs" --log-level=warning
done
