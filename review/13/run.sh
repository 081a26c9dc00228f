#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not be played. TROUBLE=0 leaves out
# the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/rig poison review/13
