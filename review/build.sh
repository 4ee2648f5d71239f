#!/usr/bin/env bash
# Prepares the cases for a run: installs the packages that the build of the deploy file needs, if they are missing, and checks that every
# stand-in parses. The stand-ins are plain modules that the pinned Node.js runs as they are, so nothing else has to be built.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x node_modules/.bin/node ]; then
    node scripts/ensure-installed.mjs
fi
find review -name '*.mjs' -print0 | xargs -0 -n 1 node_modules/.bin/node --check
