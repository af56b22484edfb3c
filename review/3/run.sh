#!/usr/bin/env bash
# Runs the case's two parts; see claim.txt. Exit status 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/baobabfront ] && [ -x review/build/review_case ] || exit 2
record=review/3/record.txt
part=$(mktemp) || exit 2
review/build/review_case label-rare "$part"
rare=$?
review/build/review_case label-lost "$record"
lost=$?
{ echo; echo "first part:"; cat "$part"; } >>"$record"
rm -f "$part"
[ $rare -eq 1 ] || [ $lost -eq 1 ] && exit 1
[ $rare -eq 0 ] && [ $lost -eq 0 ] && exit 0
exit 2
