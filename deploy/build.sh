#!/bin/sh
# Puts the run-time libraries and the packages of the gateway under target/.
set -eu
deps=target/deps
# Compiled here, as a start that compiles costs time and memory on each VM.
# Never checked against the sources: a copy of a checkout has other times, and
# all of it would be compiled at each start. Positions for tracebacks of single
# expressions are left out; lines stay.
compile() {
  python3 -X no_debug_ranges -m compileall -q -f \
    --invalidation-mode unchecked-hash "$@"
}
stamp=target/.installed
if ! [ "$stamp" -nt constraints.txt ] || ! [ "$stamp" -nt deploy/build.sh ] ||
  ! [ "$stamp" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" \
    --constraint constraints.txt --requirement deploy/requirements.txt
  compile "$deps"
  touch "$stamp"
fi
rm -rf "$deps"/radishcourse_*
for source in packages/gateway packages/model packages/node packages/platform \
  packages/policy packages/wire platform; do
  cp -r "$source"/src/radishcourse_* "$deps"/
done
find "$deps" -path '*radishcourse_*' -name '__pycache__' -prune -exec rm -rf {} +
find "$deps" -path '*radishcourse_*' -name '*.egg-info' -prune -exec rm -rf {} +
compile "$deps"/radishcourse_*
