#!/bin/sh
# Builds the stand-in that the scripts of the second review start.
set -e
cd "$(dirname "$0")/stand-2"
GOWORK=off go build -o ../../target/stand-2 .
