#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$here/../build-2/world" ] || exit 2
[ -x "$root/target/baobabfront" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 "$here/../build-2/world" former-start "$root" "$folder" "$here/record.txt"
code=$?
[ $code -le 2 ] || code=2
exit $code
