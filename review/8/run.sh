#!/bin/sh
cd "$(dirname "$0")/../.." && exec node_modules/.bin/node review/8/main.mjs
