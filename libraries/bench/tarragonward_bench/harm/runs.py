"""Run simulations of harm to targets: `script/measure harm.runs --hosts 195`."""

from __future__ import annotations

import argparse
import sys
import time

from .cold import ColdPlan, ColdRun
from .cooldowns import CooldownPlan, CooldownRun
from .crashes import CrashPlan, CrashRun
from .limits import LimitPlan, LimitRun
from .segments import SegmentPlan, SegmentRun

__all__ = ["main"]

LARGE_FLEET_HOSTS = 100
REQUESTS_PER_HOST_SECOND = 6.0
TARGETS_PER_HOST = 2


def main() -> int:
    """Run the given seeds; return 1 if a requirement was violated."""
    parser = argparse.ArgumentParser(
        prog="script/measure harm.runs", description=__doc__
    )
    parser.add_argument("--hosts", type=int, default=9)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--culprits", type=int, default=2)
    parser.add_argument(
        "--share",
        type=float,
        default=0.3,
        help="share of targets with limits or cooldowns",
    )
    parser.add_argument(
        "--turning",
        type=float,
        default=0.0,
        help="share of prompts with a segment that begins to crash targets",
    )
    parser.add_argument(
        "--kinds",
        nargs="+",
        default=["crashes", "segments", "limits", "cooldowns", "cold"],
    )
    parser.add_argument("--calm", action="store_true", help="no faults of hosts")
    options = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)
    seeds = range(options.first, options.first + options.seeds)
    violated = sum(_run_seed(seed, options) for seed in seeds)
    print(f"seeds={options.seeds} broken={violated}")
    return 1 if violated else 0


def _run_seed(seed: int, options: argparse.Namespace) -> int:
    hosts = options.hosts
    settings = {
        "hosts": hosts,
        "domains": 5 if hosts >= LARGE_FLEET_HOSTS else 3,
        "targets": TARGETS_PER_HOST * hosts,
        "requests_a_second": REQUESTS_PER_HOST_SECOND * hosts,
        "has_troubles": not options.calm,
    }
    crash = CrashRun(CrashPlan(crashing_requests=options.culprits, **settings), seed)
    limit = LimitRun(LimitPlan(share=options.share, **settings), seed)
    cooldown = CooldownRun(CooldownPlan(share=options.share, **settings), seed)
    violated = 0
    segment_plan = SegmentPlan(
        crashing_segments=options.culprits, turning_share=options.turning, **settings
    )
    segment = SegmentRun(segment_plan, seed)
    runs = {
        "crashes": crash,
        "segments": segment,
        "limits": limit,
        "cooldowns": cooldown,
        "cold": ColdRun(ColdPlan(**settings), seed),
    }
    for run in (run for name, run in runs.items() if name in options.kinds):
        began = time.monotonic()
        try:
            run.run()
            verdict = "held"
        except AssertionError as err:
            verdict, violated = f"broken ({err})", violated + 1
        seconds = time.monotonic() - began
        rate = run.fleet.sent_bytes / hosts / run.plan.seconds
        print(f"seed={seed} {run.describe()} bytes_a_host_second={rate:.0f} {verdict}")
        print(f"    took {seconds:.1f} s")
    return violated


if __name__ == "__main__":
    sys.exit(main())
