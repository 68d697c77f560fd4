#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/6 to review/10 into target/review-2/, without a network, from the module cache.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false -mod=readonly"
export GOPROXY=off
mkdir -p target/review-2
go build -o target/review-2/standins ./review/standins-2
