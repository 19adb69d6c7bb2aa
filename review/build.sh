#!/usr/bin/env bash
# The stand-ins are plain JavaScript without dependencies and run as they are; this only checks their syntax.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
