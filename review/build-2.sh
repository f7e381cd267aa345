#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: plain JavaScript modules, which are only checked.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/standins-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
