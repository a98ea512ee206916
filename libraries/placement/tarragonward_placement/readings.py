"""Decide which engines read a prompt, by the cost predicted for all on them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from tarragonward_routes import EngineModel

from . import const as c
from .fleet import NO_WORK, EngineWork, PromptWork
from .outlook import observe_outlook
from .places import EnginePlace, PromptNeed, place_engines

__all__ = ["PromptNeed", "ReadingPlan", "plan_reading"]

MILLISECONDS = 1_000


@dataclass(frozen=True)
class ReadingPlan:
    """Who reads a prompt; the leader, which writes the answer, is the first.

    tickets are the tokens that other readers hold, in the order in which they are
    filled; the leader holds the rest.
    """

    readers: tuple[str, ...]
    part_seconds: float
    reads_until: Mapping[str, float]
    first_event_seconds: float
    cost: float
    tickets: Mapping[str, int] = field(default_factory=dict)
    # The published time of a pass of the leader, with the answer among its writers.
    pass_seconds: float = 0.0

    @property
    def leader(self) -> str:
        """Return the engine that gets the request."""
        return self.readers[0]

    def build_work(self, need: PromptNeed, now: float) -> PromptWork:
        """Return the prompt as it is counted while it is in flight."""
        return PromptWork(
            leader=self.leader,
            reads_until={
                engine: now + seconds for engine, seconds in self.reads_until.items()
            },
            part_seconds=self.part_seconds,
            context_tokens=need.prompt_tokens // len(self.readers),
            held_tokens={
                **self.tickets,
                self.leader: need.memory_tokens - sum(self.tickets.values()),
            },
            pause_aim_seconds=need.pause_aim_seconds,
            weight=need.weight,
            placed_at=now,
            aim_at=now + need.aim_seconds,
        )


@dataclass(frozen=True)
class _Candidate:
    """One engine as a reader of a part: when it ends, what it costs the others."""

    name: str
    work: EngineWork
    ends_seconds: float
    cost: float
    order: float
    # What it counts, as the engine that answers, that it is in another failure domain.
    distance: float


def compute_overrun(seconds: float, bound: float) -> float:
    """Return how surely a bound is missed, 0 to 1, and a little for how far.

    A prediction is never exact, so what comes near the bound counts in part.
    """
    share = seconds / max(bound, c.MIN_BOUND_SECONDS)
    missed = (share - c.LATENESS_START_SHARE) / (
        c.LATENESS_FULL_SHARE - c.LATENESS_START_SHARE
    )
    far = c.LATENESS_RATIO_WEIGHT * min(share, c.MAX_LATENESS_RATIO)
    return min(max(missed, 0.0), 1.0) + far


def _compute_change(seconds: float, added: float, bound: float) -> float:
    """Return how much more surely a bound is missed with some time added."""
    return compute_overrun(seconds + added, bound) - compute_overrun(seconds, bound)


def plan_reading(
    need: PromptNeed,
    engines: Sequence[str],
    known: Mapping[str, EngineWork],
    model: EngineModel,
    random: Random,
    hears_peers: bool = True,
    domains: Mapping[str, str] | None = None,
    own_domain: str = "",
) -> ReadingPlan | None:
    """Return the readers with the least predicted cost, None where none has memory.

    The order of the engines is the same on all hosts: prompts that one engine reads
    at once are packed at its front, and long ones take its end, so that engines with
    writers that bear no pause stay few. A host that hears no peer spreads its
    prompts: hosts that each pack blindly would all pack the same engines.
    """
    places = place_engines(need, engines, known, model, domains or {}, own_domain)
    if not hears_peers:
        places = [replace(each, behind_lane=0, before_end=0.0) for each in places]
    chosen = _sample(places, need, random)
    if not any(need.may_lead(each.name) for each in chosen):
        return None
    alone = model.compute_read_seconds(need.prompt_tokens)
    best = None
    needs_tickets = need.memory_tokens > model.memory_tokens * c.USABLE_MEMORY_SHARE
    for count in c.PREFILL_ENGINE_COUNTS:
        part = alone / count
        if count > 1 and (
            alone < c.MIN_PARALLEL_PREFILL_SECONDS or part < c.MIN_PREFILL_PART_SECONDS
        ):
            break
        if count > len(chosen):
            break
        is_long = alone >= c.MIN_PARALLEL_PREFILL_SECONDS
        candidates = [
            _build_candidate(
                place, known.get(place.name, NO_WORK), part, model, is_long
            )
            for place in chosen
        ]
        if needs_tickets:
            plan = _plan_group(count, part, candidates, need, model, random)
        else:
            plan = _plan_for(count, part, candidates, need, model, random)
        if plan is None:
            continue
        if is_long:
            outlook = observe_outlook(engines, known, model, plan.part_seconds)
            loss = outlook.compute_loss(plan.readers, plan.part_seconds)
            plan = replace(plan, cost=plan.cost + loss)
        if best is None or plan.cost < best.cost:
            best = plan
    return best


def _sample(
    places: list[EnginePlace], need: PromptNeed, random: Random
) -> list[EnginePlace]:
    """Return a bounded number of engines, the one that is to answer among them."""
    if len(places) <= c.MAX_PLAN_CANDIDATES:
        return places
    settled = [each for each in places if each.name == need.leader]
    others = [each for each in places if each.name != need.leader]
    return settled + random.sample(others, c.MAX_PLAN_CANDIDATES - len(settled))


def _build_candidate(
    place: EnginePlace,
    work: EngineWork,
    part: float,
    model: EngineModel,
    is_long: bool,
) -> _Candidate:
    part *= work.pace
    reading = work.reading_seconds * work.pace
    steps = model.compute_write_seconds(work.writers, work.context_tokens) * work.pace
    pause = steps + reading + part
    # What already misses its bound by the reading that waits there costs no more.
    cost = sum(
        weight * _compute_change(pause - part, part, aim / MILLISECONDS)
        for aim, weight in work.weights.items()
    ) + sum(
        unread.weight * _compute_change(unread.ends_seconds, part, unread.aim_seconds)
        for unread in work.unread
    )
    ends = reading + part
    if work.writers:
        ends += 1.5 * steps
    order = place.weigh(is_long)
    return _Candidate(place.name, work, ends, cost, order, place.weigh_distance())


def _plan_for(
    count: int,
    part: float,
    candidates: list[_Candidate],
    need: PromptNeed,
    model: EngineModel,
    random: Random,
) -> ReadingPlan | None:
    lead_cost, _, _, leader = min(
        (
            (
                _compute_lead_cost(each, need, model, need.memory_tokens),
                each.work.requests,
                random.random(),
                each,
            )
            for each in candidates
            if need.may_lead(each.name)
        ),
        key=lambda item: item[:3],
    )
    others = [each for each in candidates if each is not leader]
    helpers = _choose_helpers(count - 1, others, need, model, random)
    if len(helpers) < count - 1:
        return None
    plan = _build_plan([leader, *helpers], part, lead_cost, need)
    return replace(plan, pass_seconds=_compute_pass(leader, need, model, count))


def _plan_group(
    count: int,
    part: float,
    candidates: list[_Candidate],
    need: PromptNeed,
    model: EngineModel,
    random: Random,
) -> ReadingPlan | None:
    """Return a plan whose readers hold the prompt together.

    The roomiest readers hold, so that few reservations are needed; the leader is the
    one of them where that costs least.
    """
    settled = [each for each in candidates if each.name == need.leader]
    others = [each for each in candidates if each.name != need.leader]
    readers = _choose_helpers(count - len(settled), others, need, model, random)
    readers = settled + readers
    roomy = sorted(readers, key=lambda each: (each.work.held_tokens, random.random()))
    holders = roomy[: c.MAX_RESERVATIONS + 1]
    if settled and settled[0] not in holders:
        holders[-1] = settled[0]
    if len(readers) < count or not holders:
        return None
    leader = min(
        (each for each in holders if need.may_lead(each.name)),
        key=lambda each: (_count_room(each, model) <= 0, each.cost),
    )
    left = need.memory_tokens - max(_count_room(leader, model), 0)
    tickets: dict[str, int] = {}
    for each in holders:
        if left <= 0:
            break
        tokens = min(_count_room(each, model), left)
        if each is leader or tokens <= 0:
            continue
        tickets[each.name] = tokens
        left -= tokens
    if left > 0:
        return None
    rest = need.memory_tokens - sum(tickets.values())
    lead_cost = _compute_lead_cost(leader, need, model, rest)
    # Tickets are filled in the order in which they are listed.
    held = [each for each in holders if each.name in tickets]
    only_read = [
        each for each in readers if each is not leader and each.name not in tickets
    ]
    plan = _build_plan([leader, *held, *only_read], part, lead_cost, need, tickets)
    return replace(plan, pass_seconds=_compute_pass(leader, need, model, count))


def _choose_helpers(
    count: int,
    candidates: list[_Candidate],
    need: PromptNeed,
    model: EngineModel,
    random: Random,
) -> list[_Candidate]:
    """Return the engines where a part costs least and ends soonest."""
    able = [each for each in candidates if each.work.parts < model.slots - 1]
    return sorted(
        able,
        key=lambda each: (
            each.cost
            + each.order
            + need.weight * compute_overrun(each.ends_seconds, need.aim_seconds),
            random.random(),
        ),
    )[:count]


def _build_plan(
    readers: list[_Candidate],
    part: float,
    lead_cost: float,
    need: PromptNeed,
    tickets: Mapping[str, int] | None = None,
) -> ReadingPlan:
    first = max(each.ends_seconds for each in readers)
    cost = (
        lead_cost
        + sum(each.cost + each.order for each in readers[1:])
        + need.weight * compute_overrun(first, need.aim_seconds)
        + c.PREFILL_ENGINE_COST * len(readers)
    )
    return ReadingPlan(
        readers=tuple(each.name for each in readers),
        part_seconds=part,
        reads_until={each.name: each.ends_seconds for each in readers},
        first_event_seconds=first,
        cost=cost,
        tickets=tickets or {},
    )


def _compute_pass(
    leader: _Candidate, need: PromptNeed, model: EngineModel, count: int
) -> float:
    context = leader.work.context_tokens + need.prompt_tokens // count
    return model.compute_write_seconds(leader.work.writers + 1, context)


def _count_room(each: _Candidate, model: EngineModel) -> int:
    """Return the memory that a part may take, with some left beside it."""
    return int(model.memory_tokens * c.RESERVABLE_MEMORY_SHARE) - each.work.held_tokens


def _compute_lead_cost(
    each: _Candidate, need: PromptNeed, model: EngineModel, tokens: int
) -> float:
    """Return what it costs that this engine holds and writes the answer."""
    work = each.work
    pause = model.compute_write_seconds(work.writers + 1, work.context_tokens)
    pause = (pause + work.reading_seconds) * work.pace
    cost = each.cost + each.order + each.distance
    cost += need.weight * compute_overrun(pause, need.pause_aim_seconds)
    over = work.requests + 1 - model.slots
    first = each.ends_seconds + max(over, 0) * c.SLOT_WAIT_SECONDS
    cost += need.weight * compute_overrun(first, need.aim_seconds)
    # Without memory the newest request loses its place and is read again.
    room = model.memory_tokens * c.USABLE_MEMORY_SHARE - work.held_tokens
    if tokens > room:
        cost += need.weight + sum(work.weights.values())
    return cost
