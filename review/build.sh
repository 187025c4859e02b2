#!/bin/sh
# Builds the stand-ins of all cases: the store, the servers and the clients are one program.
set -e
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOWORK=off GOFLAGS= go build -buildvcs=false -o ../bin/stand .
