#!/bin/sh
# The stand-ins of cases 6 to 10 are plain JavaScript in review/standins-2: nothing is compiled, their syntax is checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.mjs review/[6-9]/main.mjs review/10/main.mjs; do
    [ ! -e "$file" ] || node_modules/.bin/node --check "$file" || exit 1
done
