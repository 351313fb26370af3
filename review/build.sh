#!/usr/bin/env bash
# Prepares the stand-ins. They are plain scripts, so this only checks that each
# of them can be parsed; nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
perl -c stand_ins/slow_consumer.pl
