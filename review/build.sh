#!/usr/bin/env bash
# Builds the scripts of the cases with their stand-ins (those of test/platform included) into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

bundle() {
  node_modules/.bin/esbuild "$1" --bundle --platform=node --target=node20 \
    --outfile="target/review/$2.cjs" --log-level=warning
}

for main in review/[0-9]/main.ts; do
  bundle "$main" "case-$(basename "$(dirname "$main")")"
done
bundle review/2/foreign.ts case-2-foreign
bundle review/entries/leaving.ts entry-leaving
