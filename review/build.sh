#!/bin/sh
# Builds the stand-ins. They are plain modules of Node.js without dependencies, so it only checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs */case.mjs; do
  node --check "$file" || exit 1
done
