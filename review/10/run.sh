#!/bin/sh
# Shows the case of this folder; see claim.txt. Exits with 1 if the rule broke.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
