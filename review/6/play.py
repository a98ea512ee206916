"""Runners lose answers to approvals on a route that is also marked resumable."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

from stand import (
    BROKEN,
    HELD,
    Client,
    Headers,
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
# At two of three runners, two answers of five are lost: share 0.6, x 0.4.
FAULTY_ZONES = "ab"
LOST_OF_FIVE = 2
CLIENTS = 5
REQUESTS_PER_CLIENT = 20


class ForgetfulRunner(Runner):
    """Runs each request; where the disruption is on, some answers are lost."""

    async def async_run(self, first: str, headers: Headers, body: bytes) -> bytes:
        """Run a request; some answers are lost where the disruption is on."""
        answer = await super().async_run(first, headers, body)
        is_faulty = is_troubled() and self.zone in FAULTY_ZONES
        if is_faulty and len(self.runs) % 5 < LOST_OF_FIVE:
            self.record.write("answer lost", headers.get("x-request-id"), self.id)
            raise ConnectionResetError
        return answer


async def async_play(folder: Path, record: Record) -> int:
    """Play the case; return its exit code."""
    site = Site(folder, record)
    await site.async_start()
    for zone in "abc":
        runner = ForgetfulRunner(site.store, "shelf-api", zone, record)
        runner.work_seconds = 0.09
        site.runners.append(runner)
        await runner.async_start()
    is_marked = os.environ.get("RESUMABLE", "1") != "0"
    more = {"attempts": 2, "resumable": is_marked}
    routes = [describe_route("approval", "non_idempotent", "shelf-api", **more)]
    services = [describe_service("shelf-api")]
    site.store.put("op/config", build_configuration(7, routes, services))
    try:
        await site.async_start_hosts()
        return await async_approve(site, record)
    finally:
        await site.async_stop()


async def async_approve(site: Site, record: Record) -> int:
    """Send approvals; return the exit code."""
    outcomes: Counter[int] = Counter()

    async def async_send(number: int) -> None:
        client = Client(site.hosts[number % len(site.hosts)], record)
        for _ in range(REQUESTS_PER_CLIENT):
            answer = await client.async_send("POST", "/approval/1", b"slot 4")
            outcomes[answer[1]] += 1
        client.close()

    await asyncio.gather(*(async_send(number) for number in range(CLIENTS)))
    runs = Counter(each for runner in site.runners for _, each in runner.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    record.write("answers", dict(outcomes), "run more than once:", len(twice), twice)
    print(f"answers {dict(outcomes)}, run more than once: {len(twice)}")
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_play))
