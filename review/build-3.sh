#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are plain modules of Node.js
# without dependencies, so that there is nothing to compile; this checks them.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
