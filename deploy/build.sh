#!/bin/sh
# Put the run-time packages and the product's own under target/deps; nothing for tests.
set -eu
wanted=$(cat deploy/requirements.txt deploy/build.sh | sha256sum)
if [ "$(cat target/stamp 2>/dev/null || true)" != "$wanted" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps -r deploy/requirements.txt
    printf '%s' "$wanted" >target/stamp
fi
for name in core routes wire requests placement membership gateway; do
    rm -rf "target/deps/tarragonward_$name"
    cp -R "libraries/$name/tarragonward_$name" target/deps/
done
rm -rf target/deps/tarragonward_platform
cp -R platform/tarragonward_platform target/deps/
python3 -m compileall -q target/deps
touch target/deps
