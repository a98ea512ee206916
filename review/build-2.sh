#!/bin/sh
# Build what the scripts of review/4 to review/8 start besides the program of the deploy
# file. Their stand-ins are Python files that use the standard library alone: there is
# nothing to install, and this only checks that python3 can read them.
set -eu
cd "$(dirname "$0")"
for file in [4-8]/stand.py [4-8]/play.py \
    ../libraries/standins/tarragonward_standins/platform_settings.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
