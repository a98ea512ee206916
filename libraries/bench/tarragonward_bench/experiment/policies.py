"""Placement policies that the experiment compares: simple ones and the product's."""

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

__all__ = ["POLICIES", "Decision", "HostPolicy", "PolicyPlan", "override_constants"]


@dataclass(frozen=True)
class PolicyPlan:
    """A policy to compare: its class, and the parts that are switched off.

    constants override those of the product's placement while the policy runs.
    sends_to_all: hosts send gossip to all others, also where the product picks a few.
    has_cells: a large fleet is divided into cells, as the product divides it.
    """

    name: str
    kind: str = "product"
    constants: Mapping[str, Any] = field(default_factory=dict)
    sends_gossip: bool = True
    sends_immediately: bool = True
    sends_to_all: bool = False
    has_cells: bool = True
    receives_request_counts: bool = True
    # Prompts that their cell can't serve in time may use engines of the whole fleet.
    widens: bool = True
    # Hosts send summaries of the load of their cell's engines to hosts of other cells.
    sends_cell_summaries: bool = True


@dataclass(frozen=True)
class Decision:
    """A placement: the engine that answers, and those that help with the prefill."""

    leader: str
    helpers: tuple[str, ...] = ()
    work: InFlightPrompt | None = None
    predicted_seconds: float | None = None
    reserved_tokens: Mapping[str, int] = field(default_factory=dict)
    pass_seconds: float = 0.0


class HostPolicy(Protocol):
    """The placement policy of one host, with its own and gossiped knowledge."""

    usage: FleetUsageTracker | None
    cell: Collection[str] | None

    def choose(
        self, requirements: PromptRequirements, tried: Collection[str], now: float
    ) -> Decision | None:
        """Return where to send the prompt, or None if no engine is left."""

    def begin(self, decision: Decision) -> None:
        """Count a request that is sent."""

    def end(self, decision: Decision) -> None:
        """Remove a request that has ended."""


class _RoundRobin:
    usage = None
    cell = None

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines = engines
        self._next = rng.randrange(len(engines))

    def choose(
        self, requirements: PromptRequirements, tried: Collection[str], now: float
    ) -> Decision | None:
        for _ in self._engines:
            self._next = (self._next + 1) % len(self._engines)
            if self._engines[self._next] not in tried:
                return Decision(self._engines[self._next])
        return None

    def begin(self, decision: Decision) -> None:
        """Nothing is counted."""

    def end(self, decision: Decision) -> None:
        """Nothing is counted."""


class _LeastInFlight:
    usage = None
    cell = None

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines, self._rng = engines, rng
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, requirements: PromptRequirements, tried: Collection[str], now: float
    ) -> Decision | None:
        names = [name for name in self._engines if name not in tried]
        draw = self._rng.random
        key = min(((self._in_flight[n], draw(), n) for n in names), default=None)
        return Decision(key[2]) if key else None

    def begin(self, decision: Decision) -> None:
        self._in_flight[decision.leader] += 1

    def end(self, decision: Decision) -> None:
        self._in_flight[decision.leader] -= 1


class _UsageAware:
    """A policy with the product's tracker of requests in flight and peers' hints."""

    cell: Collection[str] | None = None
    widens = False
    zones: Mapping[str, str] = {}
    own_zone = ""

    def __init__(self, engines: Sequence[str], model: EngineModel, rng: Random) -> None:
        self._engines, self._model, self._rng = engines, model, rng
        self.usage = FleetUsageTracker()

    def begin(self, decision: Decision) -> None:
        if decision.work is not None:
            self.usage.begin(decision.work)

    def end(self, decision: Decision) -> None:
        if decision.work is not None:
            self.usage.end(decision.work)


class _LeastPredicted(_UsageAware):
    """The single engine that is predicted to finish the prefill first."""

    def choose(
        self, requirements: PromptRequirements, tried: Collection[str], now: float
    ) -> Decision | None:
        usage_by_engine = self.usage.get_usage(now)
        prefill_seconds = self._model.compute_prefill_seconds(
            requirements.prompt_tokens
        )
        best = None
        for name in self._engines:
            if name in tried:
                continue
            seconds, work = prefill_seconds, usage_by_engine.get(name)
            if work is not None:
                seconds += work.prefill_seconds + self._model.compute_decode_seconds(
                    work.decoding_requests, work.context_tokens
                )
            candidate = (seconds, self._rng.random(), name)
            best = candidate if best is None else min(best, candidate)
        if best is None:
            return None
        plan = PrefillPlan(
            prefill_engines=(best[2],),
            part_seconds=prefill_seconds,
            prefill_end_seconds={best[2]: best[0]},
            first_event_seconds=best[0],
            cost=0.0,
        )
        work = plan.build_work(requirements, now)
        return Decision(best[2], (), work, best[0])


class _Product(_UsageAware):
    """The product's placement; cell names the engines that are tried first."""

    def choose(
        self, requirements: PromptRequirements, tried: Collection[str], now: float
    ) -> Decision | None:
        names = [name for name in self._engines if name not in tried]
        usage_by_engine = self.usage.get_usage(now)
        has_fresh_hints = self.usage.has_fresh_hints(now)

        def plan_among(among: Sequence[str]) -> PrefillPlan | None:
            return plan_prefill(
                requirements,
                among,
                usage_by_engine,
                self._model,
                self._rng,
                has_fresh_hints,
                self.zones,
                self.own_zone,
            )

        if self.cell is None or tried:
            plan = plan_among(names)
        else:
            in_cell = [name for name in names if name in self.cell]
            plan = plan_among(in_cell)
            if self.widens:
                plan = widen_plan(plan, requirements, lambda: plan_among(names))
        if plan is None:
            return Decision(self._rng.choice(names)) if names else None
        return Decision(
            leader=plan.leader,
            helpers=tuple(plan.prefill_engines[1:]),
            work=plan.build_work(requirements, now),
            predicted_seconds=plan.first_event_seconds,
            reserved_tokens=plan.reserved_tokens,
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
        PolicyPlan("no_joint", constants={"PREFILL_ENGINE_COUNTS": (1,)}),
        PolicyPlan("always_tickets", constants={"USABLE_MEMORY_SHARE": 0.0}),
        PolicyPlan("no_lane", constants={"LONG_PROMPT_POSITION_COST": 0.0}),
        PolicyPlan(
            "no_margin",
            constants={"LATENESS_START_SHARE": 0.999, "LATENESS_FULL_SHARE": 1.0},
        ),
        PolicyPlan(
            "no_lane_no_margin",
            constants={
                "LONG_PROMPT_POSITION_COST": 0.0,
                "LATENESS_START_SHARE": 0.999,
                "LATENESS_FULL_SHARE": 1.0,
            },
        ),
        PolicyPlan("no_weights", constants={"TOKENS_PER_WEIGHT": 1e12}),
        PolicyPlan("no_hints", sends_gossip=False),
        PolicyPlan("hints_in_turn", sends_immediately=False),
        PolicyPlan("hints_from_all", sends_to_all=True, has_cells=False),
        PolicyPlan("no_told_paces", constants={"MIN_SLOWDOWN_REPORTERS": 1 << 30}),
        PolicyPlan("no_paces", constants={"MIN_SLOWDOWN": 1e9}),
        PolicyPlan("no_cells", has_cells=False),
        PolicyPlan("no_widening", widens=False),
        PolicyPlan("no_summaries", sends_cell_summaries=False),
        PolicyPlan("no_counts", receives_request_counts=False),
        PolicyPlan(
            "no_hints_no_counts", sends_gossip=False, receives_request_counts=False
        ),
    )
}


@contextmanager
def override_constants(constants: Mapping[str, Any]) -> Iterator[None]:
    """Override placement constants; raise KeyError for an unknown name."""
    before = {name: vars(const)[name] for name in constants}
    vars(const).update(constants)
    try:
        yield
    finally:
        vars(const).update(before)
