#!/usr/bin/env bash
# Runs the case; writes record.txt beside this file. Exit code: 0 held, 1 broken, 2 could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/vanillarock.cjs ] && [ -f target/review/case-5.cjs ] || exit 2
exec node target/review/case-5.cjs "$here"
