"""Check what hosts send to evacuated zones, cold runners, and out of home regions."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from tarragonward_core import Address

from .platform_clients import Attempt
from .platform_runner import Arrival, ColdPeriod, PlatformRunner
from .platform_settings import BOUNDS
from .platform_store import PlatformStore

__all__ = [
    "Evacuation",
    "find_crowds_at_cold_runners",
    "find_sends_away_from_home",
    "find_sends_to_evacuated_zones",
    "ZoneOperator",
]

EVACUATION_PREFIX = "op/evacuate/"
EVACUATE_SECONDS = 5.0
# A host counts once it has run for so long.
STABLE_SECONDS = 4.0
COLD_WINDOW_SECONDS = 1.0
MISDIRECTED = 421


@dataclass
class Evacuation:
    """An order to send nothing to a zone, from its acknowledgement until its end."""

    zone: str
    acknowledged_at: float
    ended_at: float = float("inf")


class ZoneOperator:
    """Publishes orders to evacuate zones, and withdraws them."""

    def __init__(self, store: PlatformStore, runners: Sequence[PlatformRunner]) -> None:
        self._store = store
        self._runners = runners
        self.evacuations: list[Evacuation] = []

    def evacuate(self, zone: str) -> None:
        """Order that nothing more is sent to a zone's runners."""
        self._store.put(f"{EVACUATION_PREFIX}{zone}", {})
        now = asyncio.get_running_loop().time()
        self.evacuations.append(Evacuation(zone, now))

    def take_back(self, zone: str, cold_seconds: float = 0.0) -> None:
        """Withdraw the order; the zone's runners are cold for so long from now on."""
        now = asyncio.get_running_loop().time()
        for evacuation in self.evacuations:
            if evacuation.zone == zone:
                evacuation.ended_at = min(evacuation.ended_at, now)
        for runner in self._runners:
            if cold_seconds and runner.plan.zone == zone and runner.is_registered:
                runner.become_cold(cold_seconds)
        self._store.delete(f"{EVACUATION_PREFIX}{zone}")


def find_sends_to_evacuated_zones(
    attempts: Iterable[Attempt],
    arrivals: Iterable[Arrival],
    evacuations: Sequence[Evacuation],
    host_starts: Mapping[Address, Sequence[float]],
) -> list[str]:
    """Return the requests that reached an evacuated zone too late.

    Those from hosts that started moments before don't count.
    """
    hosts = {attempt.request_id: attempt.node for attempt in attempts}

    def is_stable(arrival: Arrival) -> bool:
        starts = host_starts.get(hosts.get(arrival.request_id), ())
        return not any(0 <= arrival.at - at < STABLE_SECONDS for at in starts)

    return [
        arrival.request_id
        for arrival in arrivals
        if arrival.status != MISDIRECTED
        and is_stable(arrival)
        and any(
            arrival.zone == each.zone
            and each.acknowledged_at + EVACUATE_SECONDS < arrival.at < each.ended_at
            for each in evacuations
        )
    ]


def find_crowds_at_cold_runners(
    arrivals: Iterable[Arrival], periods: Iterable[ColdPeriod]
) -> list[str]:
    """Return the cold runners that got too many requests within a second."""
    by_runner: dict[str, list[float]] = defaultdict(list)
    for arrival in arrivals:
        if arrival.status != MISDIRECTED:
            by_runner[arrival.runner_id].append(arrival.at)
    found = []
    for period in periods:
        times = sorted(
            at
            for at in by_runner[period.runner_id]
            if period.began_at <= at < period.ended_at
        )
        allowed = period.rate * BOUNDS["coldExcess"] + BOUNDS["coldSlack"]
        most = max(
            (sum(at <= each < at + COLD_WINDOW_SECONDS for each in times))
            for at in times or [0.0]
        )
        if most > allowed:
            found.append(f"{period.runner_id}: {most} in a second, {allowed:g} allowed")
    return found


def find_sends_away_from_home(
    arrivals: Iterable[Arrival],
    homes: Mapping[str, frozenset[str]],
    regions: Mapping[str, str],
) -> list[str]:
    """Return the requests that reached a runner outside the homes of their tenant.

    homes has the home regions by tenant; regions has the region of each zone.
    """
    return [
        arrival.request_id
        for arrival in arrivals
        if arrival.headers.get("x-tenant", "") in homes
        and regions.get(arrival.zone) not in homes[arrival.headers["x-tenant"]]
    ]
