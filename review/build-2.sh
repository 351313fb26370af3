#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are plain scripts for Node.js in
# `lib-2`, which need no build; this checks that each of them can be parsed.
cd "$(dirname "$0")" || exit 2
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
