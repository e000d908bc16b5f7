#!/bin/sh
# Puts the run-time libraries and the packages of the gateway under target/.
set -eu
deps=target/deps
stamp=target/.installed
if ! [ "$stamp" -nt constraints.txt ] || ! [ "$stamp" -nt deploy/requirements.txt ]; then
  rm -rf "$deps"
  python3 -m pip install --quiet --target "$deps" \
    --constraint constraints.txt --requirement deploy/requirements.txt
  touch "$stamp"
fi
rm -rf "$deps"/radishcourse_*
for source in packages/gateway packages/model packages/node packages/platform \
  packages/policy packages/wire platform; do
  cp -r "$source"/src/radishcourse_* "$deps"/
done
find "$deps" -path '*radishcourse_*' -name '__pycache__' -prune -exec rm -rf {} +
find "$deps" -path '*radishcourse_*' -name '*.egg-info' -prune -exec rm -rf {} +
# Compiled here, as a start that compiles costs time and memory on each VM;
# never checked against the sources, which this script has just copied.
python3 -m compileall -q --invalidation-mode unchecked-hash "$deps"/radishcourse_*
