#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/anvilstall-router.mjs ] || exit 2
exec node review/4/case.mjs
