#!/bin/bash
# Builds the stand-ins of the cases, from the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-standin .
