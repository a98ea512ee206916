"""Entry point of `python3 -m tarragonward_bench.experiment`."""

import sys

from .main import main

sys.exit(main())
