#!/bin/sh
# Builds the stand-ins of the cases of review 3. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/testdata/rig
