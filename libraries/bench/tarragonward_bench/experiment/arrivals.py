"""Sample the request arrivals of a site from a seed, the same for all policies."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from .site import CallKind, PromptKind, Site

__all__ = ["Arrival", "Outcome", "compute_size", "sample_arrivals"]

CLIENTS_PER_HOST = 10
OUTPUT_TOKEN_WEIGHT = 10
MAX_CONSECUTIVE_FAILURES = 4


@dataclass(frozen=True)
class Arrival:
    """One request: its time, its kind and the host that receives it.

    For calls, failures is the number of consecutive sends that fail.
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
    """What a caller observed; durations in seconds from its first attempt.

    predicted_seconds and observed_seconds are the first event's times at the host,
    counted from the host's last placement decision (placed_at).
    """

    arrival: Arrival
    first_event_seconds: float | None = None
    longest_pause: float = 0.0
    is_complete: bool = False
    is_refused: bool = False
    sends: int = 0
    prefill_engines: tuple[str, ...] = ()
    predicted_seconds: float | None = None
    placed_at: float = 0.0
    observed_seconds: float | None = None
    last_event_at: float = field(default=0.0, repr=False)


def sample_arrivals(site: Site, seed: int, seconds: float) -> list[Arrival]:
    """Return the requests that arrive within the given seconds, in time order."""
    rng = random.Random(f"{site.name} {seed}")
    clients = _sample_clients(site, rng)
    weights = [weight for _, weight in clients]
    sampled = []
    for kind in (*site.prompts, *site.calls):
        for at in _sample_times(site, kind, rng, seconds):
            host = rng.choices(clients, weights)[0][0]
            sampled.append((at, kind, host, _sample_request(kind, rng)))
    sampled.sort(key=lambda item: item[0])
    return [
        Arrival(number, at, kind, host, **request)
        for number, (at, kind, host, request) in enumerate(sampled)
    ]


def compute_size(site: Site, prompt_tokens: int, events: int) -> float:
    """Return the size of a generation, which its worth grows with."""
    return prompt_tokens + OUTPUT_TOKEN_WEIGHT * events * site.event_tokens


def _sample_clients(site: Site, rng: random.Random) -> list[tuple[int, float]]:
    """Return (host, weight) of each client.

    Each client gets a random host, so hosts have uneven numbers of clients, as with
    clients that are assigned by a hash.
    """
    clients, first = [], 0
    total_weight = sum(zone.weight for zone in site.zones)
    for zone in site.zones:
        count = zone.clients or max(1, zone.hosts * CLIENTS_PER_HOST)
        for _ in range(count):
            host = first + rng.randrange(zone.hosts)
            clients.append((host, zone.weight / total_weight / count))
        first += zone.hosts
    return clients


def _sample_times(
    site: Site, kind: PromptKind | CallKind, rng: random.Random, seconds: float
) -> Iterator[float]:
    max_factor = max(
        [1.0, *(phase.factors.get(kind.name, 1.0) for phase in site.load_phases)]
    )
    if not kind.per_s:
        return
    at = rng.expovariate(kind.per_s * max_factor)
    while at < seconds:
        if rng.random() * max_factor < _get_factor(site, kind.name, at):
            yield at
        at += rng.expovariate(kind.per_s * max_factor)


def _get_factor(site: Site, name: str, at: float) -> float:
    factor = 1.0
    for phase in site.load_phases:
        if phase.at_s <= at < phase.at_s + phase.for_s:
            factor *= phase.factors.get(name, 1.0)
    return factor


def _sample_request(
    kind: PromptKind | CallKind, rng: random.Random
) -> dict[str, float]:
    if isinstance(kind, CallKind):
        work = _sample_size(rng, kind.work_ms, kind.work_spread, math.inf)
        failures = 0
        while failures < MAX_CONSECUTIVE_FAILURES and rng.random() < kind.failed_share:
            failures += 1
        return {"work_seconds": work / 1_000, "failures": failures}
    tokens = _sample_size(rng, kind.tokens, kind.tokens_spread, kind.max_tokens)
    events = _sample_size(rng, kind.events, kind.events_spread, kind.max_events)
    return {"prompt_tokens": max(1, int(tokens)), "events": max(1, round(events))}


def _sample_size(
    rng: random.Random, mean: float, spread: float, max_size: float
) -> float:
    """Return a log-normal size with the given mean, capped at max_size."""
    return min(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread), max_size)
