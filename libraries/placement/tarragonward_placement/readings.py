"""Plan which engines prefill a prompt, by the predicted cost to all requests there."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from tarragonward_routes import EngineModel

from . import const as c
from .fleet import IDLE_ENGINE, EngineUsage, InFlightPrompt
from .outlook import forecast_short_prompts
from .places import EnginePosition, PromptRequirements, rank_engines

__all__ = ["PromptRequirements", "PrefillPlan", "plan_prefill"]

MILLISECONDS = 1_000


@dataclass(frozen=True)
class PrefillPlan:
    """The engines that prefill a prompt; the first is the leader, which decodes.

    reserved_tokens are the KV cache tokens held on other engines, in the order in which
    they are filled; the leader holds the rest.
    """

    prefill_engines: tuple[str, ...]
    part_seconds: float
    prefill_end_seconds: Mapping[str, float]
    first_event_seconds: float
    cost: float
    reserved_tokens: Mapping[str, int] = field(default_factory=dict)
    # Published time of one pass of the leader, with this request among those it
    # decodes.
    pass_seconds: float = 0.0

    @property
    def leader(self) -> str:
        """Return the engine that receives the request."""
        return self.prefill_engines[0]

    def build_work(self, need: PromptRequirements, now: float) -> InFlightPrompt:
        """Return the prompt as it is tracked while it is in flight."""
        return InFlightPrompt(
            leader=self.leader,
            prefill_ends_at={
                engine: now + seconds
                for engine, seconds in self.prefill_end_seconds.items()
            },
            part_seconds=self.part_seconds,
            context_tokens=need.prompt_tokens // len(self.prefill_engines),
            held_tokens={
                **self.reserved_tokens,
                self.leader: need.memory_tokens - sum(self.reserved_tokens.values()),
            },
            pause_aim_seconds=need.pause_aim_seconds,
            weight=need.weight,
            placed_at=now,
            aim_at=now + need.aim_seconds,
        )


@dataclass(frozen=True)
class _PrefillCandidate:
    """One engine as a candidate for a part: when it ends, and its cost to others.

    cost is the weighted lateness that the part adds to other requests on the engine. A
    plan's cost also has the prompt's own lateness and the costs of its engines.
    """

    name: str
    usage: EngineUsage
    prefill_end_seconds: float
    cost: float
    position_cost: float
    # Cost of its being in another failure domain, if it is the leader.
    distance_cost: float


def compute_lateness(seconds: float, bound: float) -> float:
    """Return how certainly a bound is missed, 0 to 1, plus a term for by how much.

    Predictions are inexact, so a time close to the bound counts in part.
    """
    ratio = seconds / max(bound, c.MIN_BOUND_SECONDS)
    miss_certainty = (ratio - c.LATENESS_START_SHARE) / (
        c.LATENESS_FULL_SHARE - c.LATENESS_START_SHARE
    )
    ratio_term = c.LATENESS_RATIO_WEIGHT * min(ratio, c.MAX_LATENESS_RATIO)
    return min(max(miss_certainty, 0.0), 1.0) + ratio_term


def _compute_added_lateness(seconds: float, added: float, bound: float) -> float:
    """Return the increase in lateness caused by additional time."""
    return compute_lateness(seconds + added, bound) - compute_lateness(seconds, bound)


def plan_prefill(
    need: PromptRequirements,
    engines: Sequence[str],
    known: Mapping[str, EngineUsage],
    model: EngineModel,
    random: Random,
    has_fresh_hints: bool = True,
    domains: Mapping[str, str] | None = None,
    own_domain: str = "",
) -> PrefillPlan | None:
    """Return the plan with the lowest predicted cost, or None for lack of memory.

    All hosts use the same order of engines. Prompts whose prefill takes one engine
    less than MIN_PARALLEL_PREFILL_SECONDS are packed at its front and longer ones
    placed at its end, so that few engines have requests that tolerate no pause. A host
    without fresh hints from peers spreads its prompts instead: hosts that pack without
    knowing of each other would all choose the same engines.
    """
    positions = rank_engines(need, engines, known, model, domains or {}, own_domain)
    if not has_fresh_hints:
        positions = [
            replace(candidate, beyond_pool_share=0, distance_to_end=0.0)
            for candidate in positions
        ]
    chosen = _sample(positions, need, random)
    if not any(need.can_lead(candidate.name) for candidate in chosen):
        return None
    single_engine_seconds = model.compute_prefill_seconds(need.prompt_tokens)
    best = None
    needs_reservations = (
        need.memory_tokens > model.memory_tokens * c.USABLE_MEMORY_SHARE
    )
    for count in c.PREFILL_ENGINE_COUNTS:
        part = single_engine_seconds / count
        if count > 1 and (
            single_engine_seconds < c.MIN_PARALLEL_PREFILL_SECONDS
            or part < c.MIN_PREFILL_PART_SECONDS
        ):
            break
        if count > len(chosen):
            break
        is_long = single_engine_seconds >= c.MIN_PARALLEL_PREFILL_SECONDS
        candidates = [
            _build_candidate(
                position, known.get(position.name, IDLE_ENGINE), part, model, is_long
            )
            for position in chosen
        ]
        if needs_reservations:
            plan = _plan_shared_memory(count, part, candidates, need, model, random)
        else:
            plan = _plan_single_memory(count, part, candidates, need, model, random)
        if plan is None:
            continue
        if is_long:
            forecast = forecast_short_prompts(engines, known, model, plan.part_seconds)
            loss = forecast.compute_loss(plan.prefill_engines, plan.part_seconds)
            plan = replace(plan, cost=plan.cost + loss)
        if best is None or plan.cost < best.cost:
            best = plan
    return best


def _sample(
    positions: list[EnginePosition], need: PromptRequirements, random: Random
) -> list[EnginePosition]:
    """Return a bounded number of engines, always including a given leader."""
    if len(positions) <= c.MAX_PLAN_CANDIDATES:
        return positions
    fixed_leader = [
        candidate for candidate in positions if candidate.name == need.leader
    ]
    others = [candidate for candidate in positions if candidate.name != need.leader]
    return fixed_leader + random.sample(
        others, c.MAX_PLAN_CANDIDATES - len(fixed_leader)
    )


def _build_candidate(
    position: EnginePosition,
    usage: EngineUsage,
    part: float,
    model: EngineModel,
    is_long: bool,
) -> _PrefillCandidate:
    part *= usage.slowdown
    prefill_seconds = usage.prefill_seconds * usage.slowdown
    step_seconds = (
        model.compute_decode_seconds(usage.decoding_requests, usage.context_tokens)
        * usage.slowdown
    )
    pause = step_seconds + prefill_seconds + part
    # A request that misses its bound anyway, because of queued prefills, adds no cost.
    cost = sum(
        weight * _compute_added_lateness(pause - part, part, aim / MILLISECONDS)
        for aim, weight in usage.weights.items()
    ) + sum(
        pending.weight
        * _compute_added_lateness(pending.end_seconds, part, pending.aim_seconds)
        for pending in usage.pending_prefills
    )
    ends = prefill_seconds + part
    if usage.decoding_requests:
        ends += 1.5 * step_seconds
    position_cost = position.compute_position_cost(is_long)
    return _PrefillCandidate(
        position.name,
        usage,
        ends,
        cost,
        position_cost,
        position.compute_distance_cost(),
    )


def _plan_single_memory(
    count: int,
    part: float,
    candidates: list[_PrefillCandidate],
    need: PromptRequirements,
    model: EngineModel,
    random: Random,
) -> PrefillPlan | None:
    lead_cost, _, _, leader = min(
        (
            (
                _compute_lead_cost(candidate, need, model, need.memory_tokens),
                candidate.usage.requests,
                random.random(),
                candidate,
            )
            for candidate in candidates
            if need.can_lead(candidate.name)
        ),
        key=lambda item: item[:3],
    )
    others = [candidate for candidate in candidates if candidate is not leader]
    helpers = _choose_helpers(count - 1, others, need, model, random)
    if len(helpers) < count - 1:
        return None
    plan = _build_plan([leader, *helpers], part, lead_cost, need)
    return replace(plan, pass_seconds=_compute_pass(leader, need, model, count))


def _plan_shared_memory(
    count: int,
    part: float,
    candidates: list[_PrefillCandidate],
    need: PromptRequirements,
    model: EngineModel,
    random: Random,
) -> PrefillPlan | None:
    """Return a plan whose engines hold the prompt's KV cache together.

    The engines with the most free memory hold it, so that few reservations are needed;
    the leader is the one of these where that costs least.
    """
    fixed_leader = [
        candidate for candidate in candidates if candidate.name == need.leader
    ]
    others = [candidate for candidate in candidates if candidate.name != need.leader]
    prefill_engines = _choose_helpers(
        count - len(fixed_leader), others, need, model, random
    )
    prefill_engines = fixed_leader + prefill_engines
    by_free_memory = sorted(
        prefill_engines,
        key=lambda candidate: (candidate.usage.held_tokens, random.random()),
    )
    holders = by_free_memory[: c.MAX_RESERVATIONS + 1]
    if fixed_leader and fixed_leader[0] not in holders:
        holders[-1] = fixed_leader[0]
    if len(prefill_engines) < count or not holders:
        return None
    leader = min(
        (candidate for candidate in holders if need.can_lead(candidate.name)),
        key=lambda candidate: (_compute_room(candidate, model) <= 0, candidate.cost),
    )
    left = need.memory_tokens - max(_compute_room(leader, model), 0)
    reserved_tokens: dict[str, int] = {}
    for candidate in holders:
        if left <= 0:
            break
        tokens = min(_compute_room(candidate, model), left)
        if candidate is leader or tokens <= 0:
            continue
        reserved_tokens[candidate.name] = tokens
        left -= tokens
    if left > 0:
        return None
    leader_tokens = need.memory_tokens - sum(reserved_tokens.values())
    lead_cost = _compute_lead_cost(leader, need, model, leader_tokens)
    # Reservations are filled in the order in which they are listed.
    held = [candidate for candidate in holders if candidate.name in reserved_tokens]
    without_memory = [
        candidate
        for candidate in prefill_engines
        if candidate is not leader and candidate.name not in reserved_tokens
    ]
    plan = _build_plan(
        [leader, *held, *without_memory], part, lead_cost, need, reserved_tokens
    )
    return replace(plan, pass_seconds=_compute_pass(leader, need, model, count))


def _choose_helpers(
    count: int,
    candidates: list[_PrefillCandidate],
    need: PromptRequirements,
    model: EngineModel,
    random: Random,
) -> list[_PrefillCandidate]:
    """Return the engines where a part costs least and ends soonest."""
    eligible = [
        candidate
        for candidate in candidates
        if candidate.usage.helper_parts < model.slots - 1
    ]
    return sorted(
        eligible,
        key=lambda candidate: (
            candidate.cost
            + candidate.position_cost
            + need.weight
            * compute_lateness(candidate.prefill_end_seconds, need.aim_seconds),
            random.random(),
        ),
    )[:count]


def _build_plan(
    prefill_engines: list[_PrefillCandidate],
    part: float,
    lead_cost: float,
    need: PromptRequirements,
    reserved_tokens: Mapping[str, int] | None = None,
) -> PrefillPlan:
    first = max(candidate.prefill_end_seconds for candidate in prefill_engines)
    cost = (
        lead_cost
        + sum(
            candidate.cost + candidate.position_cost
            for candidate in prefill_engines[1:]
        )
        + need.weight * compute_lateness(first, need.aim_seconds)
        + c.PREFILL_ENGINE_COST * len(prefill_engines)
    )
    return PrefillPlan(
        prefill_engines=tuple(candidate.name for candidate in prefill_engines),
        part_seconds=part,
        prefill_end_seconds={
            candidate.name: candidate.prefill_end_seconds
            for candidate in prefill_engines
        },
        first_event_seconds=first,
        cost=cost,
        reserved_tokens=reserved_tokens or {},
    )


def _compute_pass(
    leader: _PrefillCandidate, need: PromptRequirements, model: EngineModel, count: int
) -> float:
    context = leader.usage.context_tokens + need.prompt_tokens // count
    return model.compute_decode_seconds(leader.usage.decoding_requests + 1, context)


def _compute_room(candidate: _PrefillCandidate, model: EngineModel) -> int:
    """Return the KV cache tokens that a part may take, with a margin left free."""
    return (
        int(model.memory_tokens * c.RESERVABLE_MEMORY_SHARE)
        - candidate.usage.held_tokens
    )


def _compute_lead_cost(
    candidate: _PrefillCandidate,
    need: PromptRequirements,
    model: EngineModel,
    tokens: int,
) -> float:
    """Return the cost of this engine holding the KV cache and decoding the answer."""
    usage = candidate.usage
    pause = model.compute_decode_seconds(
        usage.decoding_requests + 1, usage.context_tokens
    )
    pause = (pause + usage.prefill_seconds) * usage.slowdown
    cost = candidate.cost + candidate.position_cost + candidate.distance_cost
    cost += need.weight * compute_lateness(pause, need.pause_aim_seconds)
    excess_requests = usage.requests + 1 - model.slots
    first = (
        candidate.prefill_end_seconds + max(excess_requests, 0) * c.SLOT_WAIT_SECONDS
    )
    cost += need.weight * compute_lateness(first, need.aim_seconds)
    # When memory runs out, the engine evicts its newest request, which is prefilled
    # again.
    room = model.memory_tokens * c.USABLE_MEMORY_SHARE - usage.held_tokens
    if tokens > room:
        cost += need.weight + sum(usage.weights.values())
    return cost
