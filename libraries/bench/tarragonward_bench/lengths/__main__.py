"""Entry point of `python3 -m tarragonward_bench.lengths`."""

import sys

from .main import main

sys.exit(main())
