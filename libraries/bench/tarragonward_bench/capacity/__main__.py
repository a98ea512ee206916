"""Let `python3 -m tarragonward_bench.capacity` run the room's main job."""

import sys

from .main import main

sys.exit(main())
