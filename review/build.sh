#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules without dependencies: this checks that
# they parse and that the build of the deploy file has run.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[1-5]/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
[ -f target/fireflytrackd.cjs ] || { echo 'run the build of deploy/system.toml first' >&2; exit 1; }
