"""Draw the arrivals of a site from a seed, so that all policies get the same ones."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from .site import CallKind, PromptKind, Site

__all__ = ["Arrival", "Outcome", "compute_size", "draw_arrivals"]

CLIENTS_A_HOST = 10
OUTPUT_WEIGHT = 10
MAX_FAILURES = 4


@dataclass(frozen=True)
class Arrival:
    """One request: when, of which kind, at which host.

    For calls work is in seconds, and failures is how many sends fail in a row.
    """

    number: int
    at: float
    kind: PromptKind | CallKind
    host: int
    prompt_tokens: int = 0
    events: int = 0
    work_seconds: float = 0.0
    failures: int = 0


@dataclass
class Outcome:
    """What a caller saw; times in seconds from its first attempt.

    predicted and heard are the first event's at the host, from its last choice on.
    """

    arrival: Arrival
    first: float | None = None
    worst_pause: float = 0.0
    is_whole: bool = False
    is_refused: bool = False
    sends: int = 0
    readers: tuple[str, ...] = ()
    predicted: float | None = None
    placed_at: float = 0.0
    heard: float | None = None
    last_event: float = field(default=0.0, repr=False)


def draw_arrivals(site: Site, seed: int, seconds: float) -> list[Arrival]:
    """Return the requests of so many seconds, in the order of their time."""
    rng = random.Random(f"{site.name} {seed}")
    clients = _draw_clients(site, rng)
    weights = [weight for _, weight in clients]
    drawn = []
    for kind in (*site.prompts, *site.calls):
        for at in _draw_times(site, kind, rng, seconds):
            host = rng.choices(clients, weights)[0][0]
            drawn.append((at, kind, host, _draw_request(kind, rng)))
    drawn.sort(key=lambda item: item[0])
    return [
        Arrival(number, at, kind, host, **request)
        for number, (at, kind, host, request) in enumerate(drawn)
    ]


def compute_size(site: Site, prompt_tokens: int, events: int) -> float:
    """Return what a generation's worth grows with."""
    return prompt_tokens + OUTPUT_WEIGHT * events * site.event_tokens


def _draw_clients(site: Site, rng: random.Random) -> list[tuple[int, float]]:
    """Return (host, weight) a client: a hash spreads clients unevenly over hosts."""
    clients, first = [], 0
    whole = sum(zone.weight for zone in site.zones)
    for zone in site.zones:
        count = zone.clients or max(1, zone.hosts * CLIENTS_A_HOST)
        for _ in range(count):
            host = first + rng.randrange(zone.hosts)
            clients.append((host, zone.weight / whole / count))
        first += zone.hosts
    return clients


def _draw_times(
    site: Site, kind: PromptKind | CallKind, rng: random.Random, seconds: float
) -> Iterator[float]:
    most = max([1.0, *(turn.factors.get(kind.name, 1.0) for turn in site.turns)])
    if not kind.per_s:
        return
    at = rng.expovariate(kind.per_s * most)
    while at < seconds:
        if rng.random() * most < _get_factor(site, kind.name, at):
            yield at
        at += rng.expovariate(kind.per_s * most)


def _get_factor(site: Site, name: str, at: float) -> float:
    factor = 1.0
    for turn in site.turns:
        if turn.at_s <= at < turn.at_s + turn.for_s:
            factor *= turn.factors.get(name, 1.0)
    return factor


def _draw_request(kind: PromptKind | CallKind, rng: random.Random) -> dict[str, float]:
    if isinstance(kind, CallKind):
        work = _draw_size(rng, kind.work_ms, kind.work_spread, math.inf)
        failures = 0
        while failures < MAX_FAILURES and rng.random() < kind.failed_share:
            failures += 1
        return {"work_seconds": work / 1_000, "failures": failures}
    tokens = _draw_size(rng, kind.tokens, kind.tokens_spread, kind.max_tokens)
    events = _draw_size(rng, kind.events, kind.events_spread, kind.max_events)
    return {"prompt_tokens": max(1, int(tokens)), "events": max(1, round(events))}


def _draw_size(rng: random.Random, mean: float, spread: float, most: float) -> float:
    """Return a log-normal size with this mean."""
    return min(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread), most)
