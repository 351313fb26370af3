#!/bin/sh
# Builds what the scripts of cases 11 to 15 start. Their stand-ins are plain
# modules of Node.js, so they are only checked; the gateway itself is built by
# the command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ -f "$file" ] && node --check "$file"
done
[ -f ../target/gateway.cjs ] || { echo "target/gateway.cjs is missing" >&2; exit 2; }
