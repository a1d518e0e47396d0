#!/bin/sh
# Plays the case. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform ] && [ -x target/stand-2 ] || exit 2
exec target/stand-2 killed review/8
