#!/usr/bin/env bash
# No case: shows an entry of KNOWN-RED.txt. Writes record.txt beside this file; exit codes as those of the cases.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/vanillarock.cjs ] && [ -f target/review/entry-leaving.cjs ] || exit 2
exec node target/review/entry-leaving.cjs "$here"
