"""Where a host of the experiment sends a prompt: simple policies, and the product's."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Any, Protocol

from tarragonward_placement import (
    FleetUsageTracker,
    InFlightPrompt,
    PrefillPlan,
    PromptRequirements,
    const,
    plan_prefill,
    widen_plan,
)
from tarragonward_routes import EngineModel

__all__ = ["POLICIES", "HostPolicy", "PolicyPlan", "Sending", "use_numbers"]


@dataclass(frozen=True)
class PolicyPlan:
    """A policy of the run: which class, with which parts off.

    numbers replace constants of the product's placement while the policy plays.
    tells_all: each host tells all others, also where the product tells a few.
    has_cells: a large fleet is divided into cells, as the product divides it.
    """

    name: str
    kind: str = "product"
    numbers: Mapping[str, Any] = field(default_factory=dict)
    tells_peers: bool = True
    tells_at_once: bool = True
    tells_all: bool = False
    has_cells: bool = True
    hears_counts: bool = True
    # Prompts that their cell can't serve in time look at the whole fleet.
    widens: bool = True
    # Hosts tell some of other cells what lies on the engines of theirs.
    tells_summaries: bool = True


@dataclass(frozen=True)
class Sending:
    """One choice: the engine that answers, those that help it to read."""

    leader: str
    helpers: tuple[str, ...] = ()
    work: InFlightPrompt | None = None
    predicted_seconds: float | None = None
    tickets: Mapping[str, int] = field(default_factory=dict)
    pass_seconds: float = 0.0


class HostPolicy(Protocol):
    """What one host decides with, on what it knows itself and was told."""

    book: FleetUsageTracker | None
    cell: Collection[str] | None

    def choose(
        self, need: PromptRequirements, tried: Collection[str], now: float
    ) -> Sending | None:
        """Return where to send, or None where no engine is left."""

    def begin(self, sending: Sending) -> None:
        """Count a request that goes out."""

    def end(self, sending: Sending) -> None:
        """Forget a request."""


class _RoundRobin:
    book = None
    cell = None

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines = engines
        self._next = rng.randrange(len(engines))

    def choose(
        self, need: PromptRequirements, tried: Collection[str], now: float
    ) -> Sending | None:
        for _ in self._engines:
            self._next = (self._next + 1) % len(self._engines)
            if self._engines[self._next] not in tried:
                return Sending(self._engines[self._next])
        return None

    def begin(self, sending: Sending) -> None:
        """Nothing is counted."""

    def end(self, sending: Sending) -> None:
        """Nothing is counted."""


class _LeastInFlight:
    book = None
    cell = None

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines, self._rng = engines, rng
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, need: PromptRequirements, tried: Collection[str], now: float
    ) -> Sending | None:
        names = [name for name in self._engines if name not in tried]
        draw = self._rng.random
        key = min(((self._in_flight[n], draw(), n) for n in names), default=None)
        return Sending(key[2]) if key else None

    def begin(self, sending: Sending) -> None:
        self._in_flight[sending.leader] += 1

    def end(self, sending: Sending) -> None:
        self._in_flight[sending.leader] -= 1


class _Booked:
    """A policy on the product's book of work in flight and peers' hints."""

    cell: Collection[str] | None = None
    widens = False
    zones: Mapping[str, str] = {}
    own_zone = ""

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines, self._model, self._rng = engines, model, rng
        self.book = FleetUsageTracker()

    def begin(self, sending: Sending) -> None:
        if sending.work is not None:
            self.book.begin(sending.work)

    def end(self, sending: Sending) -> None:
        if sending.work is not None:
            self.book.end(sending.work)


class _LeastPredicted(_Booked):
    """The engine that by prediction reads the prompt first, alone."""

    def choose(
        self, need: PromptRequirements, tried: Collection[str], now: float
    ) -> Sending | None:
        known = self.book.get_usage(now)
        reads = self._model.compute_prefill_seconds(need.prompt_tokens)
        best = None
        for name in self._engines:
            if name in tried:
                continue
            seconds, work = reads, known.get(name)
            if work is not None:
                seconds += work.prefill_seconds + self._model.compute_decode_seconds(
                    work.decoding_requests, work.context_tokens
                )
            drawn = (seconds, self._rng.random(), name)
            best = drawn if best is None else min(best, drawn)
        if best is None:
            return None
        plan = PrefillPlan(
            prefill_engines=(best[2],),
            part_seconds=reads,
            prefill_end_seconds={best[2]: best[0]},
            first_event_seconds=best[0],
            cost=0.0,
        )
        work = plan.build_work(need, now)
        return Sending(best[2], (), work, best[0])


class _Product(_Booked):
    """What a host of the product decides; cell has the engines it uses at first."""

    def choose(
        self, need: PromptRequirements, tried: Collection[str], now: float
    ) -> Sending | None:
        names = [name for name in self._engines if name not in tried]
        known = self.book.get_usage(now)
        has_fresh_hints = self.book.has_fresh_hints(now)

        def plan_among(among: Sequence[str]) -> PrefillPlan | None:
            return plan_prefill(
                need,
                among,
                known,
                self._model,
                self._rng,
                has_fresh_hints,
                self.zones,
                self.own_zone,
            )

        if self.cell is None or tried:
            plan = plan_among(names)
        else:
            near = [name for name in names if name in self.cell]
            plan = plan_among(near)
            if self.widens:
                plan = widen_plan(plan, need, lambda: plan_among(names))
        if plan is None:
            return Sending(self._rng.choice(names)) if names else None
        return Sending(
            leader=plan.leader,
            helpers=tuple(plan.prefill_engines[1:]),
            work=plan.build_work(need, now),
            predicted_seconds=plan.first_event_seconds,
            tickets=plan.reserved_tokens,
            pass_seconds=plan.pass_seconds,
        )


POLICY_KINDS = {
    "round_robin": _RoundRobin,
    "least": _LeastInFlight,
    "predicted": _LeastPredicted,
    "product": _Product,
}

POLICIES = {
    plan.name: plan
    for plan in (
        PolicyPlan("round_robin", "round_robin"),
        PolicyPlan("least", "least"),
        PolicyPlan("predicted", "predicted"),
        PolicyPlan("product"),
        PolicyPlan("no_joint", numbers={"PREFILL_ENGINE_COUNTS": (1,)}),
        PolicyPlan("always_tickets", numbers={"USABLE_MEMORY_SHARE": 0.0}),
        PolicyPlan("no_lane", numbers={"LONG_PROMPT_POSITION_COST": 0.0}),
        PolicyPlan(
            "no_margin",
            numbers={"LATENESS_START_SHARE": 0.999, "LATENESS_FULL_SHARE": 1.0},
        ),
        PolicyPlan(
            "no_lane_no_margin",
            numbers={
                "LONG_PROMPT_POSITION_COST": 0.0,
                "LATENESS_START_SHARE": 0.999,
                "LATENESS_FULL_SHARE": 1.0,
            },
        ),
        PolicyPlan("no_weights", numbers={"TOKENS_PER_WEIGHT": 1e12}),
        PolicyPlan("no_hints", tells_peers=False),
        PolicyPlan("hints_in_turn", tells_at_once=False),
        PolicyPlan("hints_from_all", tells_all=True, has_cells=False),
        PolicyPlan("no_told_paces", numbers={"MIN_SLOWDOWN_REPORTERS": 1 << 30}),
        PolicyPlan("no_paces", numbers={"MIN_SLOWDOWN": 1e9}),
        PolicyPlan("no_cells", has_cells=False),
        PolicyPlan("no_widening", widens=False),
        PolicyPlan("no_summaries", tells_summaries=False),
        PolicyPlan("no_counts", hears_counts=False),
        PolicyPlan("no_hints_no_counts", tells_peers=False, hears_counts=False),
    )
}


@contextmanager
def use_numbers(numbers: Mapping[str, Any]) -> Iterator[None]:
    """Replace constants of the product's placement; raise KeyError for one unknown."""
    before = {name: vars(const)[name] for name in numbers}
    vars(const).update(numbers)
    try:
        yield
    finally:
        vars(const).update(before)
