#!/usr/bin/env bash
# Regenerates the committed code from the .proto files. Needs protoc,
# protoc-gen-go and protoc-gen-twirp on the path; the build does not.
set -euo pipefail
cd "$(dirname "$0")/../.."
module=github.com/lagoonlane/lagoonlane
protoc -I. --go_out=. --go_opt=module=$module \
  internal/rpc/configpb/config.proto internal/rpc/lanepb/lane.proto
protoc -I. --twirp_out=. --twirp_opt=module=$module internal/rpc/lanepb/lane.proto
