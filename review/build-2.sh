#!/usr/bin/env bash
# Builds the program with the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/testdata/stage
