#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: calm.
cd "$(dirname "$0")" || exit 2
exec timeout 110 python3 case.py
