#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/stand ] || { echo "build first: the line of the deploy file, then review/build.sh"; exit 2; }
exec target/stand withdrawn review/5
