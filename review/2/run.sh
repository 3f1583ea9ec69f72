#!/usr/bin/env bash
# Plays the case "regrant"; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/review/standin" ] || [ ! -x "$root/target/chicorypind" ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec "$root/target/review/standin" regrant "$root" "$here/record.txt"
