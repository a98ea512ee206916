#!/bin/sh
# Put the run-time packages and the product's own under target/deps; nothing for tests.
#
# A build appears whole or not at all: it is made aside, and target/deps becomes a link to
# it. A running process goes on importing from the build that it started with.
set -eu
KEPT_BUILDS=4
libraries="core routes wire requests placement membership gateway"
hash_files() { cat "$@" | sha256sum | cut -c 1-16; }

packages=target/packages/$(hash_files deploy/requirements.txt)
if [ ! -d "$packages" ]; then
    python3 -m pip install --quiet --target "$packages.$$" -r deploy/requirements.txt
    mv -T "$packages.$$" "$packages" || rm -rf "$packages.$$"
fi

sources="platform/tarragonward_platform"
for name in $libraries; do
    sources="$sources libraries/$name/tarragonward_$name"
done
version=$(find $sources -name '*.py' | LC_ALL=C sort | xargs sha256sum | sha256sum | cut -c 1-16)
build=builds/$(basename "$packages")-$version
if [ ! -d "target/$build" ]; then
    mkdir -p target/builds
    cp -R "$packages" "target/$build.$$"
    cp -R $sources "target/$build.$$/"
    python3 -m compileall -q "target/$build.$$"
    mv -T "target/$build.$$" "target/$build" || rm -rf "target/$build.$$"
fi

# A directory of an older layout can't be replaced by a link in one step.
[ -L target/deps ] || rm -rf target/deps
ln -sfn "$build" "target/deps.$$"
mv -T "target/deps.$$" target/deps
touch "target/$build"
# Processes may still run from the builds before it.
ls -dt target/builds/* | tail -n +"$((KEPT_BUILDS + 1))" | xargs -r rm -rf
