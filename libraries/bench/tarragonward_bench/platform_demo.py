"""Play a short day without faults on a stand-in of the users' platform."""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_site import PlatformPlan, PlatformSite

__all__ = ["main"]

TEMPLATE = Path("deploy/settings.toml")
MAX_SHOWN_FINDINGS = 20


async def _async_main(day: DayPlan) -> bool:
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        site = PlatformSite(folder, PlatformPlan(seed=day.seed), TEMPLATE)
        stack.push_async_callback(site.async_unload)
        print("progress starting the site")
        await site.async_setup()
        print(f"progress playing seconds={day.seconds} hosts={len(site.hosts)}")
        report = await PlatformDay(site, day).async_play()
        for rule, request_id in report.violations[:MAX_SHOWN_FINDINGS]:
            print(f"progress broken={rule} request={request_id}")
        firsts = sorted(report.first_event_seconds)
        if firsts:
            middle, high = firsts[len(firsts) // 2], firsts[int(len(firsts) * 0.95)]
            print(f"first event: n={len(firsts)} p50={middle:.3f} p95={high:.3f} s")
        print(report.format_line())
        return report.is_good


def main() -> None:
    """Run the demo as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=DayPlan.seconds)
    parser.add_argument("--seed", type=int, default=DayPlan.seed)
    arguments = parser.parse_args()
    sys.stdout.reconfigure(line_buffering=True)
    day = DayPlan(seconds=arguments.seconds, seed=arguments.seed)
    sys.exit(0 if asyncio.run(_async_main(day)) else 1)


if __name__ == "__main__":
    main()
