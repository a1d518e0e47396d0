#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off go build -o ../../target/stand backend.go cases.go client.go main.go stage.go
