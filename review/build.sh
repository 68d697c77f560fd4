#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the two programs of the deploy file: one program with
# the stand-ins of the platform. It needs no network and no module but this one.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build -o target/review-cases ./review/cases
