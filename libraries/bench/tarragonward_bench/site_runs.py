"""Run a seed's troubles on a site of real processes."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from tarragonward_standins.platform_site import PlatformPlan, PlatformSite

__all__ = ["run_on_site"]

TEMPLATE = Path("deploy/settings.toml")


def run_on_site(
    plan: PlatformPlan, async_play: Callable[[PlatformSite], Awaitable[int]]
) -> int:
    """Start a site, play on it, stop it, and return the number of requests."""
    return asyncio.run(_async_run(plan, async_play))


async def _async_run(
    plan: PlatformPlan, async_play: Callable[[PlatformSite], Awaitable[int]]
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        site = PlatformSite(Path(folder), plan, TEMPLATE)
        try:
            await site.async_setup()
            return await async_play(site)
        finally:
            await site.async_unload()
