"""Decide which engines read a prompt, by the cost predicted for all on them."""

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
    """Who reads a prompt; the leader, which writes the answer, is the first.

    tickets are the tokens that other readers hold, in the order in which they are
    filled; the leader holds the rest.
    """

    prefill_engines: tuple[str, ...]
    part_seconds: float
    prefill_end_seconds: Mapping[str, float]
    first_event_seconds: float
    cost: float
    reserved_tokens: Mapping[str, int] = field(default_factory=dict)
    # The published time of a pass of the leader, with the answer among its writers.
    pass_seconds: float = 0.0

    @property
    def leader(self) -> str:
        """Return the engine that gets the request."""
        return self.prefill_engines[0]

    def build_work(self, need: PromptRequirements, now: float) -> InFlightPrompt:
        """Return the prompt as it is counted while it is in flight."""
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
    """One engine as a reader of a part: when it ends, what it costs the others."""

    name: str
    work: EngineUsage
    prefill_end_seconds: float
    cost: float
    position_cost: float
    # What it counts, as the engine that answers, that it is in another failure domain.
    distance_cost: float


def compute_lateness(seconds: float, bound: float) -> float:
    """Return how surely a bound is missed, 0 to 1, and a little for how far.

    A prediction is never exact, so what comes near the bound counts in part.
    """
    share = seconds / max(bound, c.MIN_BOUND_SECONDS)
    missed = (share - c.LATENESS_START_SHARE) / (
        c.LATENESS_FULL_SHARE - c.LATENESS_START_SHARE
    )
    far = c.LATENESS_RATIO_WEIGHT * min(share, c.MAX_LATENESS_RATIO)
    return min(max(missed, 0.0), 1.0) + far


def _compute_added_lateness(seconds: float, added: float, bound: float) -> float:
    """Return how much more surely a bound is missed with some time added."""
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
    """Return the readers with the least predicted cost, None where none has memory.

    The order of the engines is the same on all hosts: prompts that one engine reads
    at once are packed at its front, and long ones take its end, so that engines with
    writers that bear no pause stay few. A host that hears no peer spreads its
    prompts: hosts that each pack blindly would all pack the same engines.
    """
    positions = rank_engines(need, engines, known, model, domains or {}, own_domain)
    if not has_fresh_hints:
        positions = [
            replace(each, beyond_pool_share=0, distance_to_end=0.0)
            for each in positions
        ]
    chosen = _sample(positions, need, random)
    if not any(need.can_lead(each.name) for each in chosen):
        return None
    single_engine_seconds = model.compute_read_seconds(need.prompt_tokens)
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
            plan = _plan_group_holders(count, part, candidates, need, model, random)
        else:
            plan = _plan_single_holder(count, part, candidates, need, model, random)
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
    """Return a bounded number of engines, the one that is to answer among them."""
    if len(positions) <= c.MAX_PLAN_CANDIDATES:
        return positions
    fixed_leader = [each for each in positions if each.name == need.leader]
    others = [each for each in positions if each.name != need.leader]
    return fixed_leader + random.sample(
        others, c.MAX_PLAN_CANDIDATES - len(fixed_leader)
    )


def _build_candidate(
    position: EnginePosition,
    work: EngineUsage,
    part: float,
    model: EngineModel,
    is_long: bool,
) -> _PrefillCandidate:
    part *= work.slowdown
    reading = work.prefill_seconds * work.slowdown
    step_seconds = (
        model.compute_write_seconds(work.decoding_requests, work.context_tokens)
        * work.slowdown
    )
    pause = step_seconds + reading + part
    # What already misses its bound by the reading that waits there costs no more.
    cost = sum(
        weight * _compute_added_lateness(pause - part, part, aim / MILLISECONDS)
        for aim, weight in work.weights.items()
    ) + sum(
        pending.weight
        * _compute_added_lateness(pending.end_seconds, part, pending.aim_seconds)
        for pending in work.pending_prefills
    )
    ends = reading + part
    if work.decoding_requests:
        ends += 1.5 * step_seconds
    position_cost = position.compute_position_cost(is_long)
    return _PrefillCandidate(
        position.name, work, ends, cost, position_cost, position.compute_distance_cost()
    )


def _plan_single_holder(
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
                _compute_lead_cost(each, need, model, need.memory_tokens),
                each.work.requests,
                random.random(),
                each,
            )
            for each in candidates
            if need.can_lead(each.name)
        ),
        key=lambda item: item[:3],
    )
    others = [each for each in candidates if each is not leader]
    helpers = _choose_helpers(count - 1, others, need, model, random)
    if len(helpers) < count - 1:
        return None
    plan = _build_plan([leader, *helpers], part, lead_cost, need)
    return replace(plan, pass_seconds=_compute_pass(leader, need, model, count))


def _plan_group_holders(
    count: int,
    part: float,
    candidates: list[_PrefillCandidate],
    need: PromptRequirements,
    model: EngineModel,
    random: Random,
) -> PrefillPlan | None:
    """Return a plan whose readers hold the prompt together.

    The roomiest readers hold, so that few reservations are needed; the leader is the
    one of them where that costs least.
    """
    fixed_leader = [each for each in candidates if each.name == need.leader]
    others = [each for each in candidates if each.name != need.leader]
    prefill_engines = _choose_helpers(
        count - len(fixed_leader), others, need, model, random
    )
    prefill_engines = fixed_leader + prefill_engines
    roomy = sorted(
        prefill_engines, key=lambda each: (each.work.held_tokens, random.random())
    )
    holders = roomy[: c.MAX_RESERVATIONS + 1]
    if fixed_leader and fixed_leader[0] not in holders:
        holders[-1] = fixed_leader[0]
    if len(prefill_engines) < count or not holders:
        return None
    leader = min(
        (each for each in holders if need.can_lead(each.name)),
        key=lambda each: (_compute_room(each, model) <= 0, each.cost),
    )
    left = need.memory_tokens - max(_compute_room(leader, model), 0)
    reserved_tokens: dict[str, int] = {}
    for each in holders:
        if left <= 0:
            break
        tokens = min(_compute_room(each, model), left)
        if each is leader or tokens <= 0:
            continue
        reserved_tokens[each.name] = tokens
        left -= tokens
    if left > 0:
        return None
    rest = need.memory_tokens - sum(reserved_tokens.values())
    lead_cost = _compute_lead_cost(leader, need, model, rest)
    # Tickets are filled in the order in which they are listed.
    held = [each for each in holders if each.name in reserved_tokens]
    without_memory = [
        each
        for each in prefill_engines
        if each is not leader and each.name not in reserved_tokens
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
    able = [each for each in candidates if each.work.helper_parts < model.slots - 1]
    return sorted(
        able,
        key=lambda each: (
            each.cost
            + each.position_cost
            + need.weight
            * compute_lateness(each.prefill_end_seconds, need.aim_seconds),
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
    first = max(each.prefill_end_seconds for each in prefill_engines)
    cost = (
        lead_cost
        + sum(each.cost + each.position_cost for each in prefill_engines[1:])
        + need.weight * compute_lateness(first, need.aim_seconds)
        + c.PREFILL_ENGINE_COST * len(prefill_engines)
    )
    return PrefillPlan(
        prefill_engines=tuple(each.name for each in prefill_engines),
        part_seconds=part,
        prefill_end_seconds={
            each.name: each.prefill_end_seconds for each in prefill_engines
        },
        first_event_seconds=first,
        cost=cost,
        reserved_tokens=reserved_tokens or {},
    )


def _compute_pass(
    leader: _PrefillCandidate, need: PromptRequirements, model: EngineModel, count: int
) -> float:
    context = leader.work.context_tokens + need.prompt_tokens // count
    return model.compute_write_seconds(leader.work.decoding_requests + 1, context)


def _compute_room(each: _PrefillCandidate, model: EngineModel) -> int:
    """Return the memory that a part may take, with some left beside it."""
    return int(model.memory_tokens * c.RESERVABLE_MEMORY_SHARE) - each.work.held_tokens


def _compute_lead_cost(
    each: _PrefillCandidate, need: PromptRequirements, model: EngineModel, tokens: int
) -> float:
    """Return what it costs that this engine holds and writes the answer."""
    work = each.work
    pause = model.compute_write_seconds(work.decoding_requests + 1, work.context_tokens)
    pause = (pause + work.prefill_seconds) * work.slowdown
    cost = each.cost + each.position_cost + each.distance_cost
    cost += need.weight * compute_lateness(pause, need.pause_aim_seconds)
    over = work.requests + 1 - model.slots
    first = each.prefill_end_seconds + max(over, 0) * c.SLOT_WAIT_SECONDS
    cost += need.weight * compute_lateness(first, need.aim_seconds)
    # Without memory the newest request loses its place and is read again.
    room = model.memory_tokens * c.USABLE_MEMORY_SHARE - work.held_tokens
    if tokens > room:
        cost += need.weight + sum(work.weights.values())
    return cost
