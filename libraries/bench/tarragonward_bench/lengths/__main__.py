"""Let `python3 -m tarragonward_bench.lengths` run the room's main job."""

import sys

from .main import main

sys.exit(main())
