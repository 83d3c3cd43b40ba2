#!/usr/bin/env bash
# The same cause with another status: clients get the answers of other requests. Writes record.txt, exit codes as run.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/vanillarock.cjs ] && [ -f target/review/case-2-foreign.cjs ] || exit 2
exec node target/review/case-2-foreign.cjs "$here"
