"""A host's connection to the store goes silent; later a zone's runners are removed.

This is played six times over; new runners take the place of the removed ones.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

from stand import (
    BOUNDS,
    BROKEN,
    HELD,
    CaseError,
    Client,
    Record,
    Runner,
    Site,
    build_configuration,
    describe_route,
    describe_service,
    is_troubled,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
RUNNERS_PER_ZONE = 3
ROUNDS = 6
CLIENTS = 12
PAUSE_SECONDS = 0.05
DRAIN_SECONDS = BOUNDS["drainMs"] / 1_000
STABLE_SECONDS = BOUNDS["stableWindowMs"] / 1_000
# Until the watches that follow the last change are open.
WATCH_SECONDS = 0.4
SERVE_SECONDS = 4.0


async def async_press(site: Site, until: float) -> None:
    """Send lookups to the last host, on kept connections."""

    async def async_send(delay: float) -> None:
        await asyncio.sleep(delay)
        client = Client(site.hosts[-1], site.record)
        while time.monotonic() < until:
            await client.async_send("GET", "/facing/1")
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()

    step = PAUSE_SECONDS / CLIENTS
    await asyncio.gather(*(async_send(number * step) for number in range(CLIENTS)))


async def async_play(folder: Path, record: Record) -> int:
    """Play the case; return its exit code."""
    site = Site(folder, record)
    await site.async_start()
    for zone in "abc":
        await async_add_runners(site, zone)
    routes = [describe_route("facing", "idempotent", "shelf-api")]
    services = [describe_service("shelf-api")]
    site.store.put("op/config", build_configuration(7, routes, services))
    try:
        await site.async_start_hosts()
        late = 0
        for number in range(ROUNDS):
            document = build_configuration(7 + 2 * (number + 1), routes, services)
            late += await async_remove(site, record, document)
        return BROKEN if late else HELD
    finally:
        await site.async_stop()


async def async_remove(site: Site, record: Record, document: dict[str, Any]) -> int:
    """Silence a connection, remove a zone's entries; return the late requests."""
    await asyncio.sleep(STABLE_SECONDS)
    site.store.put("op/config", document)
    await asyncio.sleep(WATCH_SECONDS)
    if is_troubled():
        if not site.proxies[-1].silence():
            raise CaseError("the host had no connection to the store")
        record.write("open connections of", site.hosts[-1].name, "to the store: silent")
    removed_in = STABLE_SECONDS + 0.1
    press = asyncio.create_task(
        async_press(site, time.monotonic() + removed_in + SERVE_SECONDS)
    )
    await asyncio.sleep(removed_in)
    # They have not reported that they are draining, and go on serving.
    gone = [runner for runner in site.runners if runner.zone == "c"]
    acked_at = {}
    for runner in gone:
        runner.stop_beats()
        site.store.delete(f"servers/{runner.id}")
        acked_at[runner.id] = time.monotonic()
        record.write("the entry of", runner.id, "is removed")
    await press
    ages = [at - acked_at[runner.id] for runner in gone for at, _ in runner.runs]
    late = sum(age > DRAIN_SECONDS for age in ages)
    text = f"{late} requests later than drainMs; the last after {max(ages):.3f} s"
    record.write(text)
    print(text)
    for runner in gone:
        runner.stop()
        site.runners.remove(runner)
    await async_add_runners(site, "c")
    return late


async def async_add_runners(site: Site, zone: str) -> None:
    """Start the runners of a zone."""
    for _ in range(RUNNERS_PER_ZONE):
        runner = Runner(site.store, "shelf-api", zone, site.record)
        site.runners.append(runner)
        await runner.async_start()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_play))
