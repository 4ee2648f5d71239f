#!/bin/sh
cd "$(dirname "$0")/../.." && exec node_modules/.bin/node review/7/main.mjs
