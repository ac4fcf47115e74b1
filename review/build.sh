#!/bin/sh
# The stand-ins are plain scripts that need no build. Checks that Node.js reads
# them, and that the program of the deploy file has been built.
cd "$(dirname "$0")/.." || exit 1
for file in review/lib/*.mjs review/*/*.mjs; do
  node --check "$file" || exit 1
done
[ -f target/anvilstall-router.mjs ] || {
  echo 'target/ is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
