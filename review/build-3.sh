#!/usr/bin/env bash
# Builds the stand-ins of the script cases of review 3. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o bin/review3 .
