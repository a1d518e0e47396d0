#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, without a network.
set -e
cd "$(dirname "$0")/stand-3"
GOWORK=off GOPROXY=off go build -o bin/stand-3 backend.go client.go cluster.go early.go fleet.go leave.go main.go poison.go stall.go
