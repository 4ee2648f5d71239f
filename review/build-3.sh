#!/bin/sh
# Builds what the scripts of this review start besides the project's own program: nothing but the stand-ins in standins-3/ and the scripts
# themselves, which the Node.js of the project runs as they are. This checks that it can.
set -eu
cd "$(dirname "$0")/.."
node=node_modules/.bin/node
[ -x "$node" ] || node=node
for file in review/standins-3/*.mjs review/1[1-5]/*.mjs; do
    "$node" --check "$file"
done
[ -x target/orioleshelf ] || { echo "target/orioleshelf is missing; run the build of deploy/system.toml first" >&2; exit 1; }
