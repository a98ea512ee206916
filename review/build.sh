#!/bin/sh
# The stand-ins of the cases need the standard library alone: nothing is downloaded.
# Their byte code is made, so that a broken file shows here.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q [0-9]*
