#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, from the module cache alone. The programs of the project are built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOPROXY=off GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o target/review-3 ./review/standins-3
