"""Read the settings of a simulated site: zones, engines, traffic and load phases."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from tarragonward_routes import EngineModel
from tarragonward_standins.platform_engine import PassSizes

__all__ = [
    "CallKind",
    "LoadPhase",
    "PromptKind",
    "Site",
    "Zone",
    "read_site",
    "scale_site",
]

MILLISECONDS = 1_000.0
THOUSAND = 1_000.0
MILLION = 1_000_000.0


@dataclass(frozen=True)
class Zone:
    """A failure domain; weight is its share of the traffic of all clients.

    The fewer clients per host, the more uneven their spread over hosts; 0 means the
    default number per host.
    """

    name: str
    hosts: int
    engines: int
    weight: float
    clients: int = 0


@dataclass(frozen=True)
class PromptKind:
    """A kind of prompt; times in ms, rate per second over the whole site."""

    name: str
    per_s: float
    tokens: float
    tokens_spread: float
    max_tokens: float
    events: float
    events_spread: float
    max_events: float
    aim_ms: float
    pause_aim_ms: float
    deadline_ms: float
    worth: float
    late_worth: float


@dataclass(frozen=True)
class CallKind:
    """A kind of call to the plain service; failed_share of the sends fail."""

    name: str
    per_s: float
    may_repeat: bool
    work_ms: float
    work_spread: float
    aim_ms: float
    deadline_ms: float
    failed_share: float
    worth: float
    late_worth: float


@dataclass(frozen=True)
class LoadPhase:
    """A period in which kinds of requests arrive more or less often than usual."""

    at_s: float
    for_s: float
    factors: dict[str, float]


@dataclass(frozen=True)
class Site:
    """A deployment to simulate."""

    name: str
    zones: tuple[Zone, ...]
    prompts: tuple[PromptKind, ...]
    calls: tuple[CallKind, ...]
    load_phases: tuple[LoadPhase, ...]
    sizes: PassSizes
    queue: int
    event_tokens: int
    report_lag_seconds: float
    call_targets: int
    call_slots: int
    client_seconds: float
    in_zone_seconds: float
    cross_zone_seconds: float

    @property
    def hosts(self) -> int:
        """Return the number of entry hosts."""
        return sum(zone.hosts for zone in self.zones)

    @property
    def engines(self) -> int:
        """Return the number of engines."""
        return sum(zone.engines for zone in self.zones)

    def get_delay(self, one: str, other: str) -> float:
        """Return the one-way delay between two failure domains in seconds."""
        return self.in_zone_seconds if one == other else self.cross_zone_seconds

    def build_engine_model(self) -> EngineModel:
        """Return the engine model that the product's placement uses."""
        sizes = self.sizes
        return EngineModel(
            slots=sizes.slots,
            memory_tokens=sizes.memory_tokens,
            stride_steps=sizes.stride,
            chunk_tokens=sizes.chunk,
            step_seconds=sizes.step_ms / MILLISECONDS,
            seconds_per_decoding_request=sizes.per_seq_ms / MILLISECONDS,
            seconds_per_context_token=sizes.context_per_k / MILLISECONDS / THOUSAND,
            prefill_tokens_per_second=sizes.read_per_s,
            seconds_per_token_pair=sizes.pairs_per_m / MILLISECONDS / MILLION,
            hop_seconds=sizes.hop_ms / MILLISECONDS,
            report_lag_seconds=self.report_lag_seconds,
        )


def read_site(path: Path) -> Site:
    """Read a site's settings file; raise KeyError or TypeError if it is invalid."""
    data = tomllib.loads(path.read_text())
    engine = dict(data["engine"])
    queue, event_tokens = engine.pop("queue"), engine.pop("event_tokens")
    lag_seconds = engine.pop("report_lag_ms") / MILLISECONDS
    calls = data.get("call_service", {"targets": 0, "slots": 0})
    return Site(
        name=data["name"],
        zones=_read_all(Zone, data["zones"]),
        prompts=_read_all(PromptKind, data["prompts"]),
        calls=_read_all(CallKind, data.get("calls", [])),
        load_phases=_read_all(LoadPhase, data.get("turns", [])),
        sizes=PassSizes(**engine),
        queue=queue,
        event_tokens=event_tokens,
        report_lag_seconds=lag_seconds,
        call_targets=calls["targets"],
        call_slots=calls["slots"],
        client_seconds=data["client_ms"] / MILLISECONDS,
        in_zone_seconds=data["in_zone_ms"] / MILLISECONDS,
        cross_zone_seconds=data["cross_zone_ms"] / MILLISECONDS,
    )


def scale_site(site: Site, hosts: int, engines: int = 0, load: float = 1.0) -> Site:
    """Return the site with the given hosts; rates are scaled with the engines and load.

    If engines is 0, the number of engines per host stays the same.
    """
    engines = engines or round(site.engines * hosts / site.hosts)
    factor = engines / site.engines
    zone_count = len(site.zones)
    zones = tuple(
        replace(
            zone,
            hosts=hosts // zone_count + (index < hosts % zone_count),
            engines=engines // zone_count + (index < engines % zone_count),
        )
        for index, zone in enumerate(site.zones)
    )
    scaled = factor * load
    return replace(
        site,
        name=f"{site.name}-{hosts}",
        zones=zones,
        prompts=tuple(replace(k, per_s=k.per_s * scaled) for k in site.prompts),
        calls=tuple(replace(k, per_s=k.per_s * scaled) for k in site.calls),
        call_targets=max(1, round(site.call_targets * factor)),
    )


def _read_all(kind: type, items: list[dict[str, Any]]) -> tuple[Any, ...]:
    return tuple(kind(**item) for item in items)
