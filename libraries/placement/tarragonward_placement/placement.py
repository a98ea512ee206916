"""Choose the engines of a prompt, or refuse it at once."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from tarragonward_core import ResultCode, invariants

from . import const as c
from .admission import check_memory, check_time, refuse
from .affinity import PrefixIndex
from .groups import GroupMember, plan_group
from .lanes import ShortBudget, choose_lane, get_treatment
from .limits import AccountLimits
from .messages import (
    EngineView,
    FleetView,
    Placed,
    PlacementPolicy,
    PlacementRequest,
    Refused,
)
from .predictions import Corrections, InFlight, InFlightBook, predict_ttft

__all__ = ["Placement"]


@dataclass(frozen=True)
class _Choice:
    """The engine that computes, its predicted time, and the parts of all."""

    view: EngineView
    ttft_seconds: float
    parts: tuple[GroupMember, ...]


@dataclass(frozen=True)
class _Context:
    """One question to placement, with what was worked out for it."""

    request: PlacementRequest
    views: Sequence[EngineView]
    fleet: FleetView
    now: float
    length_class: int
    engine_priority: int
    chunk_tokens: int


class Placement:
    """Place prompts of one model on engines, knowing this host's own work in flight.

    random draws the sampled candidates; a seeded one makes every decision repeatable.
    """

    def __init__(
        self, random: Random | None = None, policy: PlacementPolicy | None = None
    ) -> None:
        self.prefixes = PrefixIndex()
        self.limits = AccountLimits()
        self._random = random or Random(0)
        self._policy = policy or PlacementPolicy()
        self._book = InFlightBook()
        self._corrections = Corrections()
        self._short_budget = ShortBudget()

    @property
    def in_flight(self) -> int:
        """Return how many prompts are placed and not released."""
        return len(self._book)

    def place(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineView],
        now: float,
        fleet: FleetView | None = None,
    ) -> Placed | Refused:
        """Return where the prompt goes; it counts as in flight until release()."""
        views = list(engines)
        if not views:
            return Refused(ResultCode.NO_TARGET, c.DEFAULT_RETRY_AFTER_SECONDS)
        context = self._build_context(request, views, fleet or FleetView(), now)
        refused = check_memory(request, views) or self._check_limits(context)
        if refused is not None:
            return refused
        choice = self._choose(context)
        if choice is None:
            return self._refuse_full(context)
        if self._policy.uses_admission:
            refused = check_time(request, choice.view, choice.ttft_seconds)
            if refused is not None:
                return refused
        return self._take(context, choice)

    def note_first_token(self, request_id: str, now: float) -> None:
        """Learn from a prompt's first token; further calls change nothing."""
        work = self._book.get(request_id)
        if work is None or work.has_first_token:
            return
        work.has_first_token = True
        self._corrections.observe(work, now)

    def release(self, request_id: str) -> None:
        """Forget a prompt that has ended or left its engines."""
        self._book.remove(request_id)

    def _build_context(
        self,
        request: PlacementRequest,
        views: Sequence[EngineView],
        fleet: FleetView,
        now: float,
    ) -> _Context:
        length_class, priority, chunk = get_treatment(request.prompt_tokens)
        if not self._policy.uses_chunks:
            chunk = 0
        return _Context(request, views, fleet, now, length_class, priority, chunk)

    def _check_limits(self, context: _Context) -> Refused | None:
        if not self._policy.uses_limits:
            return None
        capacity = sum(view.prefill_tokens_per_second for view in context.views)
        seconds = self.limits.check(
            context.request, capacity, context.fleet, context.now
        )
        if seconds is None:
            return None
        return refuse(ResultCode.ACCOUNT_LIMIT, seconds)

    def _choose(self, context: _Context) -> _Choice | None:
        kv_tokens = context.request.kv_tokens
        if kv_tokens > max(view.kv_tokens for view in context.views):
            return self._choose_group(context)
        roomy = [
            view
            for view in self._get_candidates(context)
            if self._book.count_free_kv(view, context.now) >= kv_tokens
        ]
        if not roomy:
            return None
        best = min(
            self._sample(context, roomy),
            key=lambda view: (self._rank(context, view), view.name),
        )
        part = GroupMember(best.name, kv_tokens)
        return _Choice(best, self._predict(context, best), (part,))

    def _choose_group(self, context: _Context) -> _Choice | None:
        free = [
            (view.name, self._book.count_free_kv(view, context.now))
            for view in self._get_candidates(context)
        ]
        parts = plan_group(free, context.request.kv_tokens)
        if parts is None:
            return None
        names = {part.engine for part in parts}
        members = [view for view in context.views if view.name in names]
        leader = min(members, key=lambda view: (self._rank(context, view), view.name))
        # The leader computes, so its part is named first.
        ordered = sorted(parts, key=lambda part: part.engine != leader.name)
        return _Choice(leader, self._predict(context, leader), tuple(ordered))

    def _get_candidates(self, context: _Context) -> list[EngineView]:
        """Return the engines that the prompt may use, for its length."""
        request, views = context.request, context.views
        if not self._policy.uses_lane:
            return list(views)
        if request.is_long:
            largest = max(view.kv_tokens for view in views)
            # One more than its size needs: the engines are seldom all empty.
            wanted = -(-request.kv_tokens // largest) + 1
            return choose_lane(views, request.prompt_tokens, wanted)
        lane = {view.name for view in choose_lane(views, 0)}
        hosts = context.fleet.live_hosts
        return [
            view
            for view in views
            if view.name not in lane
            or self._short_budget.can_take(view, hosts, context.now)
        ]

    def _sample(
        self, context: _Context, views: Sequence[EngineView]
    ) -> list[EngineView]:
        """Return a few engines by chance, and the one with most of the prefix."""
        if not self._policy.uses_sampling or len(views) <= c.SAMPLED_CANDIDATES:
            return list(views)
        sampled = self._random.sample(views, c.SAMPLED_CANDIDATES)
        holder = max(views, key=lambda view: self._count_cached(context, view))
        if self._count_cached(context, holder) and holder not in sampled:
            sampled.append(holder)
        return sampled

    def _rank(self, context: _Context, view: EngineView) -> float:
        if self._policy.uses_prediction:
            return self._predict(context, view)
        return sum(1 for _ in self._book.iterate_engine(view.name))

    def _predict(self, context: _Context, view: EngineView) -> float:
        waiting = self._book.count_unread(view, context.engine_priority, context.now)
        cached = self._count_cached(context, view)
        seconds = predict_ttft(context.request, view, waiting, cached)
        return seconds * self._corrections.get(context.length_class)

    def _count_cached(self, context: _Context, view: EngineView) -> int:
        if not self._policy.uses_affinity:
            return 0
        return self.prefixes.count_cached_tokens(
            view.name, context.request.prefix_hashes
        )

    def _refuse_full(self, context: _Context) -> Refused:
        """Refuse for want of memory until the least loaded engine has read all."""
        seconds = min(
            view.queued_prefill_tokens / view.prefill_tokens_per_second
            for view in context.views
        )
        return refuse(ResultCode.OVERLOADED, seconds, "no engine has the memory")

    def _take(self, context: _Context, choice: _Choice) -> Placed:
        request = context.request
        self._check_parts(context, choice)
        cached = self._count_cached(context, choice.view)
        unread = max(request.prompt_tokens - cached, 1)
        if not request.is_long:
            self._short_budget.take(choice.view.name, unread)
        self._book.add(
            InFlight(
                request_id=request.request_id,
                account=request.account,
                parts={part.engine: part.tokens for part in choice.parts},
                leader=choice.view.name,
                unread_tokens=unread,
                engine_priority=context.engine_priority,
                placed_at=context.now,
                predicted_ttft_seconds=choice.ttft_seconds,
                length_class=context.length_class,
            )
        )
        return Placed(
            engines=tuple(part.engine for part in choice.parts),
            predicted_ttft_seconds=choice.ttft_seconds,
            engine_priority=context.engine_priority,
            chunk_tokens=context.chunk_tokens,
            parts=tuple(part.tokens for part in choice.parts),
        )

    def _check_parts(self, context: _Context, choice: _Choice) -> None:
        known = {view.name: view for view in context.views}
        for part in choice.parts:
            view = known.get(part.engine)
            invariants.check(
                view is not None
                and part.tokens <= self._book.count_free_kv(view, context.now),
                "placed_within_known_memory",
                request_id=context.request.request_id,
                engine=part.engine,
            )
        invariants.check(
            sum(part.tokens for part in choice.parts) == context.request.kv_tokens,
            "group_parts_make_the_prompt",
            request_id=context.request.request_id,
        )
