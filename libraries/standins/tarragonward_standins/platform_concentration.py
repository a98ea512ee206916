"""Times in which the balancer sends most connections to one host, and their rule."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from .platform_clients import Attempt, ClientRequest
from .platform_runner import Arrival

__all__ = ["Concentration", "find_unserved_at_one_host"]

STABLE_SECONDS = 3.0
MIN_SERVED_RATIO = 3 / 4
MIN_REQUESTS = 20
COMPARED_SECONDS = 10.0
NEVER = float("inf")


@dataclass
class Concentration:
    """A time in which most new connections go to one host."""

    began_at: float
    ended_at: float = NEVER


def find_unserved_at_one_host(
    requests: Sequence[ClientRequest],
    arrivals: Iterable[Arrival],
    concentrations: Sequence[Concentration],
) -> Iterator[str]:
    """Find concentrations in which what hosts read is served too seldom.

    From STABLE_SECONDS on, requests must be served at the first attempt that a host
    has read at least MIN_SERVED_RATIO as often as in the seconds before.
    """
    arrived = {arrival.request_id for arrival in arrivals}
    read = [(r.began_at, _find_first_read(r, arrived)) for r in requests]
    for one in concentrations:
        before = [
            attempt
            for at, attempt in read
            if one.began_at - COMPARED_SECONDS <= at < one.began_at
        ]
        during = [
            attempt
            for at, attempt in read
            if one.began_at + STABLE_SECONDS <= at < one.ended_at
        ]
        if min(len(before), len(during)) < MIN_REQUESTS:
            continue
        was, now = (sum(map(_is_served, group)) for group in (before, during))
        if now * len(before) < MIN_SERVED_RATIO * was * len(during):
            yield (
                f"{now} of {len(during)} served at the first attempt that was read, "
                f"{was} of {len(before)} before"
            )


def _find_first_read(request: ClientRequest, arrived: set[str]) -> Attempt | None:
    """Return the first attempt that a host has read, else the last one."""
    attempts = request.attempts
    return next(
        (each for each in attempts if each.status or each.request_id in arrived),
        attempts[-1] if attempts else None,
    )


def _is_served(attempt: Attempt | None) -> bool:
    return attempt is not None and attempt.is_complete and attempt.status // 100 == 2
