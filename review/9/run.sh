#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/stage ] && [ -x target/lagoonlane ] || { echo "build first: the deploy file's build, and review/build-2.sh" >&2; exit 2; }
exec target/stage deep "$dir/record.txt"
