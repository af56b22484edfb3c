#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and
# review/build-3.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/baobabfront ] && [ -x target/review-3/dealt_anew ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 target/review-3/dealt_anew "$PWD" "$folder" \
  review/11/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
