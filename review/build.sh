#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node without dependencies: this only checks that each of them loads.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs; do node --check "$file"; done
