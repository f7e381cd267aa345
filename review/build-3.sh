#!/bin/bash
# Builds every stand-in that a script of this review starts. They are plain modules, so the build only checks that each can be read.
set -e
cd "$(dirname "$0")"
for file in standins-4/*.mjs 12/*.mjs 13/*.mjs 14/*.mjs 15/*.mjs 16/*.mjs; do node --check "$file"; done
