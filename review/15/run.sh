#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and
# review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/baobabfront ] && [ -x target/review-3/cases ] || exit 2
exec timeout -k 5 118 target/review-3/cases steps target/baobabfront \
  target/review-3 review/15/record.txt
