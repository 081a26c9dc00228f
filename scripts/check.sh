#!/usr/bin/env bash
# Formatter, vet and linter over the packages that are named.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(git ls-files --cached --others --exclude-standard '*.go' | grep -vE '\.(pb|twirp)\.go$' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
  echo "gofmt would change:"
  echo "$unformatted"
  exit 1
fi
go vet "$@"
go tool staticcheck "$@"
# The users' platform is spoken in platform/ only: its names appear nowhere else.
names=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v '^platform/' |
  xargs -r grep -nE '"(Lagoonlane-|Kv-From|Kv-Fetch|keyed\.|/lagoonlane/)|LAGOONLANE_NODE_FILE' || true)
if [ -n "$names" ]; then
  echo "names of the users' platform outside platform/:"
  echo "$names"
  exit 1
fi
