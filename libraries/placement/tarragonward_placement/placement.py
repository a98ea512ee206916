"""Place prompts on engines, or refuse them at once."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from tarragonward_core import ResultCode, invariants

from . import const as c
from .admission import check_memory, check_time, refuse
from .affinity import PrefixIndex
from .groups import GroupMember, plan_group
from .limits import AccountLimits
from .long_pool import (
    ShortPromptBudget,
    classify_prompt,
    get_long_pool,
    get_pool_order,
    has_long_prefill,
)
from .messages import (
    EngineView,
    FleetView,
    Placed,
    PlacementPolicy,
    PlacementRequest,
    Refused,
)
from .predictions import (
    InFlightIndex,
    InFlightRequest,
    TokenInterval,
    TtftCorrections,
    predict_ttft,
)

__all__ = ["Placement"]


@dataclass(frozen=True)
class _Choice:
    """The engine that computes, its predicted time to first token, and all parts."""

    view: EngineView
    ttft_seconds: float
    parts: tuple[GroupMember, ...]


@dataclass(frozen=True)
class _Context:
    """A placement request with values derived from it."""

    request: PlacementRequest
    views: Sequence[EngineView]
    fleet: FleetView
    now: float
    length_class: int
    engine_priority: int
    chunk_tokens: int


class Placement:
    """Places prompts of one model on engines, tracking this host's own requests.

    random draws the sampled candidates; with a seed, every decision is repeatable.
    """

    def __init__(
        self, random: Random | None = None, policy: PlacementPolicy | None = None
    ) -> None:
        self.prefixes = PrefixIndex()
        self.limits = AccountLimits()
        self._random = random or Random(0)
        self._policy = policy or PlacementPolicy()
        self._in_flight = InFlightIndex()
        self._corrections = TtftCorrections()
        self._token_interval = TokenInterval()
        self._short_budget = ShortPromptBudget()

    @property
    def in_flight(self) -> int:
        """Return the number of prompts that are placed and not released."""
        return len(self._in_flight)

    def place(
        self,
        request: PlacementRequest,
        engines: Iterable[EngineView],
        now: float,
        fleet: FleetView | None = None,
    ) -> Placed | Refused:
        """Return where the prompt runs; it counts as in flight until release()."""
        views = list(engines)
        if not views:
            return Refused(ResultCode.NO_TARGET, c.DEFAULT_RETRY_AFTER_SECONDS)
        context = self._build_context(request, views, fleet or FleetView(), now)
        refused = check_memory(request, views, context.fleet)
        refused = refused or self._check_limits(context)
        if refused is not None:
            return refused
        choice = self._choose(context)
        if choice is None:
            return self._refuse_full(context)
        # Without a recent report the prediction is a guess, which is no reason to
        # refuse.
        is_known = choice.view.report_age_seconds <= c.MAX_TRUSTED_REPORT_SECONDS
        if self._policy.uses_admission and is_known:
            seconds_per_token = self._token_interval.seconds_per_token
            refused = check_time(request, seconds_per_token, choice.ttft_seconds)
            if refused is not None:
                return refused
        return self._accept(context, choice)

    def note_first_token(self, request_id: str, now: float) -> None:
        """Learn from a prompt's first token; later calls for it have no effect."""
        request = self._in_flight.get(request_id)
        if request is None or request.has_first_token:
            return
        request.has_first_token = True
        request.first_token_at = now
        self._corrections.observe(request, now)

    def note_finished(self, request_id: str, tokens: int, now: float) -> None:
        """Learn the token interval from a complete answer."""
        request = self._in_flight.get(request_id)
        if request is not None and request.has_first_token:
            self._token_interval.observe(now - request.first_token_at, tokens - 1)

    def release(self, request_id: str) -> None:
        """Stop tracking a prompt that has ended or left its engines."""
        self._in_flight.remove(request_id)

    def _build_context(
        self,
        request: PlacementRequest,
        views: Sequence[EngineView],
        fleet: FleetView,
        now: float,
    ) -> _Context:
        length_class, priority, chunk = classify_prompt(request.prompt_tokens)
        if not self._policy.uses_chunks:
            chunk = 0
        return _Context(request, views, fleet, now, length_class, priority, chunk)

    def get_demand(self, now: float) -> dict[str, float]:
        """Return the tokens per second offered here by account, for other hosts."""
        return self.limits.get_demand(now)

    def _check_limits(self, context: _Context) -> Refused | None:
        if not self._policy.uses_limits:
            return None
        request, fleet = context.request, context.fleet
        if not request.is_long:
            capacity = self._compute_short_capacity(context)
            cached = max(self._count_cached(context, view) for view in context.views)
            seconds = self.limits.check(request, capacity, fleet, context.now, cached)
        else:
            is_within = self._is_within_memory_share(context)
            seconds = None if is_within else c.LONG_RETRY_SECONDS
        if seconds is None:
            return None
        return refuse(ResultCode.ACCOUNT_LIMIT, seconds)

    def _is_within_memory_share(self, context: _Context) -> bool:
        memory = sum(view.kv_tokens for view in context.views)
        free = sum(view.free_kv_tokens for view in context.views)
        if free >= memory * c.SCARCE_MEMORY_SHARE:
            return True
        held = self._in_flight.count_held_by_account()
        return self.limits.check_memory(context.request, held, memory, context.fleet)

    def _compute_short_capacity(self, context: _Context) -> float:
        """Return the tokens per second that are available to short prompts."""
        total = sum(view.prefill_tokens_per_second for view in context.views)
        long_prefill_rate = sum(
            view.prefill_tokens_per_second
            for view in context.views
            if has_long_prefill(view)
        )
        return total - long_prefill_rate * (1 - c.SHORT_PROMPT_RATE_SHARE)

    def _choose(self, context: _Context) -> _Choice | None:
        request = context.request
        if request.kv_tokens > max(view.kv_tokens for view in context.views):
            return self._choose_group(context)
        fitting = [
            view
            for view in self._get_candidates(context)
            if self._in_flight.count_free_kv(view, context.now) >= request.kv_tokens
        ]
        if not fitting:
            return None
        best = self._choose_one(context, fitting)
        part = GroupMember(best.name, request.kv_tokens)
        return _Choice(best, self._predict(context, best), (part,))

    def _choose_one(self, context: _Context, views: Sequence[EngineView]) -> EngineView:
        is_packed = context.length_class >= c.FIRST_PACKED_CLASS
        free = None
        if is_packed and self._policy.uses_long_pool:
            free = self._find_pool_engine(context, sorted(views, key=get_pool_order))
        sampled = self._sample(context, views) if free is None else [free]
        holder = max(views, key=lambda view: self._count_cached(context, view))
        if self._count_cached(context, holder):
            sampled.append(holder)
        return min(sampled, key=lambda view: (self._rank(context, view), view.name))

    def _find_pool_engine(
        self, context: _Context, views: Sequence[EngineView]
    ) -> EngineView | None:
        """Return one of the pool's first engines with a queue that is short enough.

        As prompts move on to later engines only while the first ones are busy, the pool
        grows and shrinks with the long prompts in flight. The engine is drawn among a
        few, because hosts that all took the first one would collide there on the same
        old report.
        """
        max_waiting_tokens = context.request.prompt_tokens * c.LONG_POOL_MAX_WAIT_SHARE
        priority, now = context.engine_priority, context.now
        free = (
            view
            for view in views
            if self._in_flight.count_queued_tokens(view, priority, now)
            <= max_waiting_tokens
        )
        first = list(itertools.islice(free, c.LONG_POOL_CANDIDATES))
        return self._random.choice(first) if first else None

    def _choose_group(self, context: _Context) -> _Choice | None:
        free = [
            (view.name, self._in_flight.count_free_kv(view, context.now))
            for view in self._get_candidates(context)
        ]
        parts = plan_group(free, context.request.kv_tokens)
        if parts is None:
            return None
        names = {part.engine for part in parts}
        members = [view for view in context.views if view.name in names]
        leader = min(members, key=lambda view: (self._rank(context, view), view.name))
        # The leader computes, so its part is listed first.
        ordered = sorted(parts, key=lambda part: part.engine != leader.name)
        return _Choice(leader, self._predict(context, leader), tuple(ordered))

    def _get_candidates(self, context: _Context) -> list[EngineView]:
        """Return the engines that a prompt of this length may use."""
        request, views = context.request, context.views
        if not self._policy.uses_long_pool:
            return list(views)
        if request.is_long:
            largest = max(view.kv_tokens for view in views)
            # One more than its size needs, as rarely all engines are empty.
            share = c.LONG_POOL_SHARES[context.length_class]
            return get_long_pool(views, share, -(-request.kv_tokens // largest) + 1)
        hosts = context.fleet.live_hosts
        return [
            view
            for view in views
            if not has_long_prefill(view)
            or self._short_budget.can_take(view, hosts, context.now)
        ]

    def _sample(
        self, context: _Context, views: Sequence[EngineView]
    ) -> list[EngineView]:
        """Return a random sample of the engines.

        Engines with long prefills are sampled separately, so that a short prompt is
        never left with only these by chance. Long prompts consider all engines.
        """
        is_long = context.request.is_long and self._policy.uses_long_pool
        if is_long or not self._policy.uses_sampling:
            return list(views)
        without_long_prefill = [view for view in views if not has_long_prefill(view)]
        with_long_prefill = [view for view in views if has_long_prefill(view)]
        sampled = self._draw(without_long_prefill, c.SAMPLED_CANDIDATES)
        return sampled + self._draw(with_long_prefill, c.SAMPLED_LONG_PREFILL)

    def _draw(self, views: list[EngineView], count: int) -> list[EngineView]:
        return self._random.sample(views, min(count, len(views)))

    def _rank(self, context: _Context, view: EngineView) -> float:
        if self._policy.uses_prediction:
            return self._predict(context, view)
        return sum(1 for _ in self._in_flight.iterate_engine(view.name))

    def _predict(self, context: _Context, view: EngineView) -> float:
        waiting = self._in_flight.count_queued_tokens(
            view, context.engine_priority, context.now
        )
        cached = self._count_cached(context, view)
        has_lower_priority_work = self._in_flight.has_lower_priority_work(
            view, context.engine_priority, context.now
        )
        seconds = predict_ttft(
            context.request, view, waiting, cached, has_lower_priority_work
        )
        return seconds * self._corrections.get(context.length_class)

    def _count_cached(self, context: _Context, view: EngineView) -> int:
        if not self._policy.uses_affinity:
            return 0
        return self.prefixes.count_cached_tokens(
            view.name, context.request.prefix_hashes
        )

    def _refuse_full(self, context: _Context) -> Refused:
        """Refuse for lack of memory until the least loaded engine's queue is empty."""
        seconds = min(
            view.queued_prefill_tokens / view.prefill_tokens_per_second
            for view in context.views
        )
        return refuse(ResultCode.OVERLOADED, seconds, "no engine has the memory")

    def _accept(self, context: _Context, choice: _Choice) -> Placed:
        request = context.request
        self._check_parts(context, choice)
        cached = self._count_cached(context, choice.view)
        uncached = max(request.prompt_tokens - cached, 1)
        if not request.is_long:
            self._short_budget.take(choice.view.name, uncached)
        self._in_flight.add(
            InFlightRequest(
                request_id=request.request_id,
                account=request.account,
                parts={part.engine: part.tokens for part in choice.parts},
                leader=choice.view.name,
                uncached_tokens=uncached,
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
                and part.tokens <= self._in_flight.count_free_kv(view, context.now),
                "placed_within_known_memory",
                request_id=context.request.request_id,
                engine=part.engine,
            )
        invariants.check(
            sum(part.tokens for part in choice.parts) == context.request.kv_tokens,
            "group_parts_make_the_prompt",
            request_id=context.request.request_id,
        )
