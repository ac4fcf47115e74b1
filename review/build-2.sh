#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are plain modules: nothing has to be
# compiled, and they import nothing but Node.js and each other.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6..10}/run.mjs; do
  [ ! -f "$file" ] || node --check "$file"
done
