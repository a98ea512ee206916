"""Play runs of harm of any size: `script/measure harm.runs --hosts 195 --seeds 3`."""

from __future__ import annotations

import argparse
import sys
import time

from .crashes import CrashPlan, CrashRun
from .limits import LimitPlan, LimitRun

__all__ = ["main"]

MANY_HOSTS = 100
REQUESTS_A_HOST = 6.0
TARGETS_A_HOST = 2


def main() -> int:
    """Play the seeds named; return 1 where a rule was broken."""
    parser = argparse.ArgumentParser(
        prog="script/measure harm.runs", description=__doc__
    )
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--culprits", type=int, default=2)
    parser.add_argument("--share", type=float, default=0.3, help="of limited targets")
    parser.add_argument("--calm", action="store_true", help="no trouble of hosts")
    options = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)
    seeds = range(options.first, options.first + options.seeds)
    broken = sum(_play(seed, options) for seed in seeds)
    print(f"seeds={options.seeds} broken={broken}")
    return 1 if broken else 0


def _play(seed: int, options: argparse.Namespace) -> int:
    hosts = options.hosts
    size = {
        "hosts": hosts,
        "domains": 5 if hosts >= MANY_HOSTS else 3,
        "targets": TARGETS_A_HOST * hosts,
        "requests_a_second": REQUESTS_A_HOST * hosts,
        "has_troubles": not options.calm,
    }
    crash = CrashRun(CrashPlan(culprits=options.culprits, **size), seed)
    limit = LimitRun(LimitPlan(share=options.share, **size), seed)
    broken = 0
    for run in (crash, limit):
        began = time.monotonic()
        try:
            run.run()
            verdict = "held"
        except AssertionError as err:
            verdict, broken = f"broken ({err})", broken + 1
        seconds = time.monotonic() - began
        rate = run.fleet.sent_bytes / hosts / run.plan.seconds
        print(f"seed={seed} {run.describe()} bytes_a_host_second={rate:.0f} {verdict}")
        print(f"    took {seconds:.1f} s")
    return broken


if __name__ == "__main__":
    sys.exit(main())
