#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 11 to 15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin-3.new ./review/_standin-3
mv target/standin-3.new target/standin-3
