#!/bin/sh
# SPDX-License-Identifier: MIT
# Builds what the router's role needs, all of it under target/.
set -eu

# Compiled modules count whatever the dates of their sources: processes can't write them
# anew where a copy of target/ has lost the dates.
deps=target/deps
mkdir -p target
if [ ! -f target/.deps ] || [ deploy/requirements.txt -nt target/.deps ] || [ constraints.txt -nt target/.deps ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --disable-pip-version-check \
    --target "$deps" -c constraints.txt -r deploy/requirements.txt
  python3 -m compileall -q -o 2 --invalidation-mode unchecked-hash "$deps"
  touch target/.deps
fi
# Processes may be running from there: nothing is touched without a change.
if ! diff -rq -x __pycache__ src/violethatch "$deps/violethatch" >/dev/null 2>&1; then
  rm -rf "$deps/violethatch"
  cp -r src/violethatch "$deps/violethatch"
  python3 -m compileall -q -o 2 --invalidation-mode unchecked-hash "$deps/violethatch"
fi
