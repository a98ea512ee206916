"""Choose the targets of a send, and count what this host has in flight on each."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

from tarragonward_core import log_event
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_placement import (
    Cell,
    EngineWork,
    FleetBook,
    HostView,
    PromptNeed,
    PromptWork,
    ReadingPlan,
    TargetHealthTracker,
    TargetLimits,
    plan_reading,
    widen_plan,
)
from tarragonward_placement.const import MAX_LIMIT_WAIT_SECONDS
from tarragonward_routes import Route, Service

from . import const as c
from .clock import read_clock
from .headers import parse_count, parse_rate
from .probes import TargetProber
from .state import GatewayState

__all__ = ["SECTION", "SendChoice", "TargetChooser", "TargetNeed"]

SECTION = "prompts"
MAX_ORDERED = 4_096
LOAD_SEPARATOR = ","
LOAD_FIELDS = 3
ALONE = HostView("", frozenset({""}), 1)


@dataclass(frozen=True)
class TargetNeed:
    """A send to be placed; tokens are None where the request is no prompt."""

    service: str
    route: Route
    aim_at: float
    tokens: tuple[int, int] | None = None
    tried: Collection[str] = ()
    # The one that is to answer, where that is settled.
    leader: str = ""
    # Whether targets have ended under the request.
    is_suspect: bool = False

    def allows(self, target: RegisteredTarget) -> bool:
        """Return whether the request may still go to a target."""
        return target.id not in self.tried or target.id == self.leader


@dataclass
class SendChoice:
    """The target of a send, and the engines that help it to read the prompt."""

    target: RegisteredTarget
    helpers: tuple[RegisteredTarget, ...] = ()
    plan: ReadingPlan | None = None
    work: PromptWork | None = None
    ticket: str = ""
    has_events: bool = False
    reading_since: float | None = None

    def note_first_event(self, now: float) -> None:
        """Note that the prompt has been read."""
        if self.work is not None and self.work.first_event_at is None:
            self.work.first_event_at = now

    def compute_pace(self, events: int, now: float) -> float | None:
        """Return how many times as long as published the passes of new events took.

        Each event is of one pass. None for the first one, which waits for the reading.
        """
        since = self.reading_since
        if since is None or self.plan is None or not self.plan.pass_seconds:
            return None
        return (now - since) / events / self.plan.pass_seconds

    @property
    def predicted_at(self) -> float | None:
        """Return when the first event is predicted, None where nothing was."""
        if self.plan is None or self.work is None:
            return None
        return self.work.placed_at + self.plan.first_event_seconds

    @property
    def helpers_header(self) -> str:
        """Return the helpers as they are told to the target."""
        assert self.plan is not None
        tickets = self.plan.tickets
        return ",".join(
            f"{helper.address}/{self.ticket}"
            if helper.id in tickets
            else str(helper.address)
            for helper in self.helpers
        )

    @property
    def needs_tickets(self) -> bool:
        """Return whether the prompt lies on several engines."""
        return self.plan is not None and bool(self.plan.tickets)


class TargetChooser:
    """Choose by what is known of all targets, and keep this host's share of it."""

    def __init__(self, state: GatewayState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._in_flight: Counter[str] = Counter()
        # The targets at which suspects of this host are tried.
        self._kept_clear: Counter[str] = Counter()
        self.book = FleetBook()
        # The engines that this host uses, by service; all where nothing is set.
        self.get_cell: Callable[[str], Cell] | None = None
        self._streams: dict[str, dict[Callable[[EngineWork], None], None]] = {}
        self.book.on_reading.append(self._note_reading)
        # What targets themselves take a second.
        self.limits = TargetLimits(state.random)
        self.on_limit: list[Callable[[int], None]] = []
        self.get_host_view: Callable[[], HostView] = lambda: ALONE
        self.reach = TargetHealthTracker()
        self.probes = TargetProber(state, self.reach)

    def build_digest(self) -> dict[str, list[Any]]:
        """Return this host's prompts in flight, to be told to the other hosts."""
        return self.book.build_digest(self._clock())

    def take_digest(self, host: str, data: Any, age_seconds: float) -> None:
        """Take what another host told of its prompts in flight."""
        self.book.take_digest(host, data, age_seconds, self._clock())

    def choose(self, need: TargetNeed) -> SendChoice | None:
        """Return where to send, or None where no target is left."""
        choice = self.find(need)
        if choice is not None:
            self.reach.start_trial(choice.target, read_clock())
            self.limits.record_send(hash_name(choice.target.id))
        return choice

    def return_send(self, target: RegisteredTarget) -> None:
        """Note that a target that was chosen is sent nothing."""
        self.limits.return_send(hash_name(target.id))

    def compute_wait(self, need: TargetNeed) -> float | None:
        """Return when a target that names a limit takes one more, None for no such."""
        now, view = read_clock(), self.get_host_view()
        waits = [
            self.limits.compute_wait(number, view, now)
            for target in self._state.registry.get_ready(need.service)
            if self.limits.is_limited(number := hash_name(target.id))
        ]
        return min(*waits, MAX_LIMIT_WAIT_SECONDS) if waits else None

    def find_alternative(self, need: TargetNeed) -> SendChoice | None:
        """Return where a request that a target has already would go in its place.

        What is in doubt is the idlest by all that is known. Symptom, where it counts: a
        request leaves its place at an engine that is well for one that is dead, comes
        back to a full queue, and is refused or broken off. A trial by a request that
        has no place yet finds out as soon.
        """
        choice = self.find(need)
        if choice is None or self.reach.is_ejected(choice.target):
            return None
        return choice

    def find(self, need: TargetNeed) -> SendChoice | None:
        """Return where a send would go now, without one: no target is tried by it."""
        ready = [
            target
            for target in self._state.registry.get_ready(need.service)
            if need.allows(target) and self._has_connection(target)
        ]
        ready = self._keep_to_limits(ready)
        if not ready:
            return None
        now = read_clock()
        awake = self.reach.select(ready, now)
        if need.leader:
            # It is settled, in doubt or not; its helpers are not.
            settled = [target for target in ready if target.id == need.leader]
            if not settled:
                return None
            others = (target for target in awake if target.id != need.leader)
            awake = [*settled, *others]
        if need.is_suspect and not need.leader:
            awake = self._choose_idle(awake)
        elif self._kept_clear and not need.leader:
            awake = [t for t in awake if t.id not in self._kept_clear] or awake
        choice = self._choose_among(awake, need)
        if choice is None and len(awake) < len(ready) and not need.leader:
            # A long prompt may need more engines than those known to be in reach.
            choice = self._choose_among(ready, need)
        return choice

    def _choose_among(
        self, ready: Sequence[RegisteredTarget], need: TargetNeed
    ) -> SendChoice | None:
        table = self._state.table
        service = table.services.get(need.service) if table is not None else None
        if need.tokens is None or service is None or service.engine is None:
            return SendChoice(self._choose_least_busy(ready))
        return self._plan(need, ready, service)

    def _keep_to_limits(self, ready: list[RegisteredTarget]) -> list[RegisteredTarget]:
        """Return the targets that take one more request of this host now."""
        if not len(self.limits):
            return ready
        now, view = read_clock(), self.get_host_view()
        may_send = self.limits.may_send
        return [t for t in ready if may_send(hash_name(t.id), view, now)]

    def _choose_idle(
        self, ready: Sequence[RegisteredTarget]
    ) -> Sequence[RegisteredTarget]:
        """Return the target with the least in progress, by all that is known.

        What else is in progress is lost with a target that ends.
        """
        known = self.book.get_all(self._clock())

        def count(target: RegisteredTarget) -> tuple[int, int, int]:
            work = known.get(target.id)
            others = work.requests + work.parts if work is not None else 0
            is_kept = self._kept_clear[target.id]
            return is_kept, others, self._in_flight[target.id]

        return [min(ready, key=count)]

    @contextmanager
    def isolate_target(self, target: RegisteredTarget) -> Iterator[None]:
        """Keep this host's other requests off a target, while there are others."""
        self._kept_clear[target.id] += 1
        try:
            yield
        finally:
            self._kept_clear[target.id] -= 1
            if not self._kept_clear[target.id]:
                del self._kept_clear[target.id]

    def _has_connection(self, target: RegisteredTarget) -> bool:
        # A target resets connections beyond those that it takes from all hosts
        # together. Symptom: a request is lost, and may have run. Each send has one
        # connection, so a host that keeps to its part of them meets no reset.
        limit = self._state.get_connection_limit(target.service)
        return limit is None or self._in_flight[target.id] < limit

    @contextmanager
    def track_in_flight(self, choice: SendChoice) -> Iterator[None]:
        """Count a request on its targets until it ends."""
        target = choice.target
        self._in_flight[target.id] += 1
        if choice.work is not None:
            self.book.begin(choice.work)
        try:
            yield
        finally:
            if choice.work is not None:
                self.book.end(choice.work)
            self._in_flight[target.id] -= 1
            if not self._in_flight[target.id]:
                del self._in_flight[target.id]

    @contextmanager
    def watch_prefills(
        self, choice: SendChoice, note_reading: Callable[[EngineWork], None]
    ) -> Iterator[None]:
        """Call back each time that the target is known to read for long."""
        watching = self._streams.setdefault(choice.target.id, {})
        watching[note_reading] = None
        try:
            yield
        finally:
            watching.pop(note_reading, None)
            if not watching:
                self._streams.pop(choice.target.id, None)

    def _note_reading(self, engines: Collection[str]) -> None:
        watched = [engine for engine in engines if engine in self._streams]
        known = self.book.get_all(self._clock()) if watched else {}
        for engine in watched:
            for note_reading in list(self._streams.get(engine, ())):
                note_reading(known.get(engine, EngineWork()))

    def note_events(self, choice: SendChoice, events: int) -> None:
        """Note that events of an answer came, and learn the engine's pace by them."""
        now = self._clock()
        choice.note_first_event(now)
        pace = choice.compute_pace(events, now)
        if pace is not None:
            self.book.note_pass(choice.target.id, pace, now)

    def note_full(self, target_id: str) -> None:
        """Note that a target has no memory for a reservation."""
        self.book.note_full(target_id, self._clock())

    def record_load(self, target: RegisteredTarget, text: str | None) -> None:
        """Take the load that a target tells with its answer."""
        counts = [parse_count(part) for part in (text or "").split(LOAD_SEPARATOR)]
        if len(counts) != LOAD_FIELDS or counts[0] is None or counts[1] is None:
            return
        self.book.note_count(target.id, counts[0] + counts[1], self._clock())

    def record_limit(self, target: RegisteredTarget, text: str | None) -> None:
        """Take the requests a second that a target names with its answer, if any."""
        number, rate = hash_name(target.id), parse_rate(text)
        if self.limits.note_named(number, rate, read_clock()):
            log_event("target_limit", target=target.id, requests_per_second=rate)
            for notify in self.on_limit:
                notify(number)

    def _choose_least_busy(self, ready: Sequence[RegisteredTarget]) -> RegisteredTarget:
        random = self._state.random.random
        return min(ready, key=lambda t: (self._in_flight[t.id], random()))

    def _is_limited(self, target_id: str) -> bool:
        return self.limits.is_limited(hash_name(target_id))

    def _keep_cell(
        self, need: TargetNeed, ready: Sequence[RegisteredTarget]
    ) -> Sequence[RegisteredTarget]:
        """Return the engines of this host's cell, or all after one has failed."""
        if self.get_cell is None or need.tried:
            return ready
        cell = self.get_cell(need.service)
        self.book.tells_each = not cell.is_whole
        if cell.is_whole:
            return ready
        return [target for target in ready if target.id in cell.engines] or ready

    def allows_cross_cell(self, service: str) -> bool:
        """Return whether prompts of a service may go to engines of other cells.

        In a very large fleet cells have enough of them, and a plan among all, and word
        of all, would take more of each host than it saves.
        """
        return len(self._state.registry.get_ready(service)) <= c.MAX_CROSS_CELL_ENGINES

    def build_summary(self) -> dict[str, list[Any]] | None:
        """Return what is known of the engines of this host's cell, None for none."""
        table = self._state.table
        if self.get_cell is None or table is None:
            return None
        summary: dict[str, list[Any]] = {}
        for service in table.services.values():
            if service.engine is None or not self.allows_cross_cell(service.name):
                continue
            cell = self.get_cell(service.name)
            if not cell.is_whole:
                summary |= self.book.build_summary(cell.engines, self._clock())
        return summary or None

    def take_summary(self, host: str, data: Any, age_seconds: float) -> None:
        """Take what a host of another cell told of the engines of its cell."""
        self.book.take_summary(data, age_seconds, self._clock())

    def _plan(
        self, need: TargetNeed, ready: Sequence[RegisteredTarget], service: Service
    ) -> SendChoice | None:
        assert need.tokens is not None and service.engine is not None
        now = self._clock()
        prompt = PromptNeed(
            prompt_tokens=need.tokens[0],
            output_tokens=need.tokens[1],
            aim_seconds=need.aim_at - now,
            pause_aim_seconds=need.route.pause_aim_seconds,
            leader=need.leader,
        )
        by_id = {target.id: target for target in ready}
        near = [target.id for target in self._keep_cell(need, ready)]
        known = self.book.get_all(now)

        def plan_among(names: Collection[str]) -> ReadingPlan | None:
            return plan_reading(
                prompt,
                sorted(names, key=_compute_place),
                known,
                service.engine,
                self._state.random,
                self.book.hears_peers(now),
                {name: by_id[name].failure_domain for name in names},
                self._state.settings.failure_domain,
            )

        plan = plan_among(near)
        if len(near) < len(by_id) and self.allows_cross_cell(need.service):
            plan = widen_plan(plan, prompt, lambda: plan_among(by_id))
        if plan is not None and any(map(self._is_limited, plan.readers[1:])):
            # A part that is read for another target is work that its limit leaves out.
            free = [name for name in near if not self._is_limited(name)]
            plan = plan_among(free) or plan
        if plan is None:
            return None
        return SendChoice(
            target=by_id[plan.leader],
            helpers=tuple(by_id[name] for name in plan.readers[1:]),
            plan=plan,
            work=plan.build_work(prompt, now),
        )


@lru_cache(MAX_ORDERED)
def _compute_place(target_id: str) -> bytes:
    """Return a target's place in the order that all hosts share."""
    return hashlib.blake2b(target_id.encode(), digest_size=8).digest()
