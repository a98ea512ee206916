"""Choose the targets of a send and track this host's requests in flight on each."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager
from functools import lru_cache
from typing import Any

from tarragonward_membership import RegisteredTarget
from tarragonward_placement import (
    Cell,
    ConcurrencyLimits,
    EngineUsage,
    Evidence,
    FleetUsageTracker,
    PrefillPlan,
    PromptRequirements,
    TargetHealthTracker,
    plan_prefill,
    widen_plan,
)
from tarragonward_placement.const import MIN_PARALLEL_PREFILL_SECONDS
from tarragonward_requests import SendFault
from tarragonward_routes import Service

from . import const as c
from .choices import SendChoice, TargetRequirements
from .clock import read_clock
from .connection_shares import ConnectionShares
from .failure_domains.homes import HomePolicy
from .place_queue import PlaceQueue
from .probes import EVIDENCE_BY_FAULT, TargetProber
from .sending import SendLimits
from .state import GatewayState
from .statements import TargetStatements
from .target_paths import TargetPaths

__all__ = ["SECTION", "TargetChooser"]

SECTION = "prompts"
MAX_CACHED_ORDER_KEYS = 4_096


class TargetChooser:
    """Chooses targets by the load of all hosts and tracks this host's own load."""

    def __init__(self, state: GatewayState, clock: Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self._in_flight: Counter[str] = Counter()
        # Targets to which this host has sent a suspect request.
        self._isolated: Counter[str] = Counter()
        self.usage = FleetUsageTracker()
        # Returns this host's cell for a service; without it all engines are used.
        self.get_cell: Callable[[str], Cell] | None = None
        self._prefill_callbacks: dict[
            str, dict[Callable[[EngineUsage], None], None]
        ] = {}
        self.usage.on_long_prefill.append(self._notify_prefill)
        self.send_limits = SendLimits(state.random, self._get_cold_rate)
        self.limits = self.send_limits.advertised
        self.cooldowns = self.send_limits.cooldowns
        self.concurrency = ConcurrencyLimits()
        self._place_queues: dict[str, PlaceQueue] = {}
        self.statements = TargetStatements(state, self.usage, self.send_limits, clock)
        self._connections = ConnectionShares(state, self.statements, self._in_flight)
        self.target_health = TargetHealthTracker()
        self.paths = TargetPaths(self.target_health)
        self.probes = TargetProber(state, self.target_health)
        self.probes.on_registered.append(self.paths.retain_only)
        self.probes.on_link_lost.append(self.paths.notify_lost)
        self.probes.on_target_lost.append(self.paths.notify_target_lost)
        self.paths.check = self.probes.check_in_background
        self.probes.accepts_requests = self.accepts_requests

    def build_digest(self) -> dict[str, list[Any]]:
        """Return this host's prompts in flight for the gossip to other hosts."""
        return self.usage.build_digest(self._clock())

    def apply_digest(self, host: str, data: Any, age_seconds: float) -> None:
        """Apply another host's report of its prompts in flight."""
        self.usage.apply_digest(host, data, age_seconds, self._clock())

    def choose(self, requirements: TargetRequirements) -> SendChoice | None:
        """Choose a target and record the send; return None if no target remains."""
        choice = self.find(requirements)
        if choice is not None:
            choice.homes = requirements.homes
            choice.is_relayed = self.paths.must_relay(choice.target)
            self.paths.start_trial(choice.target, choice.is_relayed)
            self.send_limits.record_send(choice.target)
        return choice

    def count_in_flight_by_domain(self) -> Counter[str]:
        """Return how many requests of this host are in flight by failure domain."""
        counts: Counter[str] = Counter()
        for target in self._state.registry.get_all():
            counts[target.failure_domain] += self._in_flight[target.id]
        return counts

    def count_disconnected(self, service: str) -> int:
        """Return how many ready targets of a service this host can't connect to."""
        return self.probes.reachability.count_disconnected(service)

    def is_service_unreachable(self, service: str) -> bool:
        """Return whether this host can connect to none of a service's ready targets."""
        ready = len(self._state.registry.get_ready(service))
        return ready == self.count_disconnected(service)

    def record_evidence(self, choice: SendChoice, evidence: Evidence) -> None:
        """Record what a send has shown about its target, by the path that it took."""
        if choice.is_relayed:
            self.paths.record(choice.target, evidence)
        else:
            self.probes.record(choice.target, evidence)

    def record_failure(self, choice: SendChoice, fault: SendFault) -> None:
        """Record a failed send as evidence."""
        evidence = EVIDENCE_BY_FAULT.get(fault)
        # The relay's own answer is the evidence on a connection that it has not made.
        is_by_relay = choice.is_relayed and evidence is Evidence.NOT_CONNECTED
        if evidence is not None and not is_by_relay:
            self.record_evidence(choice, evidence)

    def accepts_requests(self, target: RegisteredTarget) -> bool:
        """Return whether a target has not asked this host for no more requests."""
        is_cooling_down = self.cooldowns.is_cooling_down(target.id, read_clock())
        return self._state.registry.is_usable(target) and not is_cooling_down

    def cancel_send(self, target: RegisteredTarget) -> None:
        """Undo the record of a send to a target that was chosen and sent nothing."""
        self.send_limits.refund_send(target)

    def compute_wait(self, service: str) -> float | None:
        """Return the seconds until a target of a service accepts a request.

        None if no target is ready, or nothing limits what is sent to one of them.
        """
        now = read_clock()
        waits: list[float] = []
        for target in self._state.registry.get_ready(service):
            wait = self.send_limits.compute_wait(target, now)
            if wait is None:
                return None
            waits.append(wait)
        if not waits:
            return None
        # Callers that return together would meet the same overload again.
        spread = 1.0 + c.COOLDOWN_RETURN_SPREAD * self._state.random.random()
        return min(min(waits) * spread, c.MAX_COOLDOWN_RETRY_SECONDS)

    def find_alternative(self, requirements: TargetRequirements) -> SendChoice | None:
        """Return a target to which a request that is already at one could move.

        An ejected target has no reported load, so it looks like the best choice. A
        request that moved there would leave its place in the queue of a healthy engine
        for a dead one, return to a full queue, and be refused or aborted. Requests
        without a place in a queue show just as soon whether the target has recovered.
        """
        choice = self.find(requirements)
        if choice is None or not self.paths.is_ready(choice.target):
            return None
        return choice

    def find(self, requirements: TargetRequirements) -> SendChoice | None:
        """Return the target that a send would go to now, without recording a send."""
        ready, healthy = self._list_candidates(requirements)
        if self._waits_for_place(requirements):
            healthy = self._filter_full(healthy)
        if not healthy:
            return None
        choice = self._choose_among(healthy, requirements)
        if choice is None and len(healthy) < len(ready) and not requirements.leader:
            # A long prompt may need more engines than the healthy ones.
            choice = self._choose_among(ready, requirements)
        return choice

    def _list_candidates(
        self, requirements: TargetRequirements
    ) -> tuple[Sequence[RegisteredTarget], Sequence[RegisteredTarget]]:
        """Return the targets that may get the request, and the best of them."""
        ready = self._connections.select(self._list_allowed(requirements))
        now = read_clock()
        ready = self.send_limits.select(ready, now)
        if not ready:
            return (), ()
        preferred = self.cooldowns.prefer(ready, now, is_retry=bool(requirements.tried))
        healthy = self.paths.select(preferred, now)
        if requirements.leader:
            # The leader is fixed even if it is ejected; its helpers must be healthy.
            leaders = [target for target in ready if target.id == requirements.leader]
            if not leaders:
                return (), ()
            others = (target for target in healthy if target.id != requirements.leader)
            healthy = [*leaders, *others]
        if requirements.is_suspect and not requirements.leader:
            healthy = self._choose_for_isolation(healthy)
        elif self._isolated and not requirements.leader:
            healthy = [t for t in healthy if t.id not in self._isolated] or healthy
        return ready, healthy

    def _choose_among(
        self, ready: Sequence[RegisteredTarget], requirements: TargetRequirements
    ) -> SendChoice | None:
        table = self._state.table
        service = (
            table.services.get(requirements.service) if table is not None else None
        )
        if requirements.tokens is None or service is None or service.engine is None:
            return SendChoice(self._choose_least_busy(ready))
        return self._plan(requirements, ready, service)

    def _list_allowed(self, requirements: TargetRequirements) -> list[RegisteredTarget]:
        """Return the ready targets that a request has not tried and may go to."""
        homes = HomePolicy(self._state.settings.regions)
        return [
            target
            for target in self._state.registry.get_ready(requirements.service)
            if requirements.allows(target)
            and homes.allows(requirements.homes, target.failure_domain)
        ]

    def _get_cold_rate(self, service: str) -> float:
        table = self._state.table
        found = table.services.get(service) if table is not None else None
        return found.cold_requests_per_second if found is not None else 0.0

    def may_hold(self, requirements: TargetRequirements) -> bool:
        """Return whether a request is held rather than sent to a full target.

        A long prompt is not: it needs memory on several engines at once.
        """
        table = self._state.table
        service = table.services.get(requirements.service) if table else None
        if requirements.tokens is None or service is None or service.engine is None:
            return False
        prefill_seconds = service.engine.compute_prefill_seconds(requirements.tokens[0])
        return (
            not requirements.leader and prefill_seconds < MIN_PARALLEL_PREFILL_SECONDS
        )

    def _lacks_connections(self, requirements: TargetRequirements) -> bool:
        """Return whether only this host's share of connections keeps a request back."""
        allowed = self._list_allowed(requirements)
        is_free = bool(self._connections.select(allowed))
        return bool(allowed) and not is_free and not requirements.leader

    def _waits_for_place(self, requirements: TargetRequirements) -> bool:
        return len(self.concurrency) > 0 and self.may_hold(requirements)

    def _filter_full(
        self, targets: Sequence[RegisteredTarget]
    ) -> list[RegisteredTarget]:
        """Return the targets that may get one more request of this host."""
        now, may_send = self._clock(), self.concurrency.may_send
        return [t for t in targets if may_send(t.id, self._in_flight[t.id], now)]

    def record_full(self, choice: SendChoice) -> None:
        """Record that a full target refused a request that is still in flight."""
        choice.is_refused = True
        target = choice.target.id
        others = self._in_flight[target] - 1
        self.concurrency.record_refused(target, others, self._clock())
        self.get_place_queue(choice.target.service)

    def compute_return_wait(self, service: str) -> float | None:
        """Return when a refused caller should come back, None if that is not known."""
        return self.compute_wait(service) or self.compute_place_wait(service)

    def compute_place_wait(self, service: str) -> float | None:
        """Return the predicted seconds until a place is free, None if not known."""
        queue = self._place_queues.get(service)
        if queue is None or not len(self.concurrency):
            return None
        wait = queue.predict_wait(self._clock())
        spread = 1.0 + c.COOLDOWN_RETURN_SPREAD * self._state.random.random()
        return min(wait * spread, c.MAX_COOLDOWN_RETRY_SECONDS) or None

    def get_place_queue(self, service: str) -> PlaceQueue:
        """Return the queue of the requests to a service that wait for a place."""
        queue = self._place_queues.get(service)
        if queue is None:
            queue = self._place_queues[service] = PlaceQueue()
            queue.on_displaced = self._record_displaced
        return queue

    def _record_displaced(self, account: str) -> None:
        self._state.metrics.count("held_requests_displaced", account=account)

    def must_wait(self, requirements: TargetRequirements) -> bool:
        """Return whether a request waits for a place, behind those that wait already.

        Without any target it does not: it is refused at once.
        """
        if self._lacks_connections(requirements):
            return True
        if not self._waits_for_place(requirements):
            return False
        _, healthy = self._list_candidates(requirements)
        is_queue = len(self.get_place_queue(requirements.service)) > 0
        return bool(healthy) and (is_queue or not self._filter_full(healthy))

    def are_all_full(self, requirements: TargetRequirements) -> bool:
        """Return whether there are targets for a request, but all are full."""
        if self._lacks_connections(requirements):
            return True
        if not self._waits_for_place(requirements):
            return False
        _, healthy = self._list_candidates(requirements)
        return bool(healthy) and not self._filter_full(healthy)

    def _choose_for_isolation(
        self, ready: Sequence[RegisteredTarget]
    ) -> Sequence[RegisteredTarget]:
        """Return the target with the least known work in progress.

        If the suspect request crashes the target, all other work there is lost with it.
        """
        known = self.usage.get_usage(self._clock())

        def count(target: RegisteredTarget) -> tuple[int, int, int]:
            work = known.get(target.id)
            others = work.requests + work.helper_parts if work is not None else 0
            is_isolated = self._isolated[target.id]
            return is_isolated, others, self._in_flight[target.id]

        return [min(ready, key=count)]

    @contextmanager
    def isolate_target(self, target: RegisteredTarget) -> Iterator[None]:
        """Keep this host's other requests off a target while other targets are left."""
        self._isolated[target.id] += 1
        try:
            yield
        finally:
            self._isolated[target.id] -= 1
            if not self._isolated[target.id]:
                del self._isolated[target.id]

    @contextmanager
    def track_in_flight(self, choice: SendChoice) -> Iterator[None]:
        """Count a request as in flight on its targets until the context exits."""
        target = choice.target
        self._in_flight[target.id] += 1
        if choice.work is not None:
            self.usage.begin(choice.work)
        try:
            yield
        finally:
            if choice.work is not None:
                self.usage.end(choice.work)
            self._in_flight[target.id] -= 1
            if not choice.is_refused:
                self._release_place(target)
            if not self._in_flight[target.id]:
                del self._in_flight[target.id]

    def _release_place(self, target: RegisteredTarget) -> None:
        if len(self.concurrency):
            self.concurrency.record_ended(target.id)
        queue = self._place_queues.get(target.service)
        if queue is not None:
            queue.record_release(self._clock())

    @contextmanager
    def watch_prefills(
        self, choice: SendChoice, on_prefill: Callable[[EngineUsage], None]
    ) -> Iterator[None]:
        """Call on_prefill whenever a long prefill is reported for the target."""
        callbacks = self._prefill_callbacks.setdefault(choice.target.id, {})
        callbacks[on_prefill] = None
        try:
            yield
        finally:
            callbacks.pop(on_prefill, None)
            if not callbacks:
                self._prefill_callbacks.pop(choice.target.id, None)

    def _notify_prefill(self, engines: Collection[str]) -> None:
        watched = [engine for engine in engines if engine in self._prefill_callbacks]
        known = self.usage.get_usage(self._clock()) if watched else {}
        for engine in watched:
            for on_prefill in list(self._prefill_callbacks.get(engine, ())):
                on_prefill(known.get(engine, EngineUsage()))

    def record_events(self, choice: SendChoice, events: int) -> None:
        """Record that events of an answer arrived, and the decode pace they show."""
        now = self._clock()
        choice.record_first_event(now)
        choice.on_events()
        pace = choice.compute_pace(events, now)
        if pace is not None:
            self.usage.record_pass(choice.target.id, pace, now)

    def mark_full(self, target_id: str) -> None:
        """Record that a target had no memory for a reservation."""
        self.usage.mark_full(target_id, self._clock())

    def _choose_least_busy(self, ready: Sequence[RegisteredTarget]) -> RegisteredTarget:
        random = self._state.random.random
        return min(ready, key=lambda t: (self._in_flight[t.id], random()))

    def _restrict_to_cell(
        self, requirements: TargetRequirements, ready: Sequence[RegisteredTarget]
    ) -> Sequence[RegisteredTarget]:
        """Return the engines of this host's cell, or all after a failed attempt."""
        if self.get_cell is None or requirements.tried:
            return ready
        cell = self.get_cell(requirements.service)
        self.usage.announces_every_prompt = not cell.covers_fleet
        if cell.covers_fleet:
            return ready
        return [target for target in ready if target.id in cell.engines] or ready

    def allows_cross_cell(self, service: str) -> bool:
        """Return whether prompts of a service may be sent to engines of other cells.

        In a very large fleet a cell has enough engines, and planning among all engines
        and gossip about all of them would cost each host more than it saves.
        """
        return len(self._state.registry.get_ready(service)) <= c.MAX_CROSS_CELL_ENGINES

    def build_summary(self) -> dict[str, list[Any]] | None:
        """Return the known load of the engines of this host's cell, None if nothing."""
        table = self._state.table
        if self.get_cell is None or table is None:
            return None
        summary: dict[str, list[Any]] = {}
        for service in table.services.values():
            if service.engine is None or not self.allows_cross_cell(service.name):
                continue
            cell = self.get_cell(service.name)
            if not cell.covers_fleet:
                summary |= self.usage.build_summary(cell.engines, self._clock())
        return summary or None

    def apply_summary(self, host: str, data: Any, age_seconds: float) -> None:
        """Apply a report of a host of another cell on the engines of its cell."""
        self.usage.apply_summary(data, age_seconds, self._clock())

    def _plan(
        self,
        requirements: TargetRequirements,
        ready: Sequence[RegisteredTarget],
        service: Service,
    ) -> SendChoice | None:
        assert requirements.tokens is not None and service.engine is not None
        now = self._clock()
        prompt = PromptRequirements(
            prompt_tokens=requirements.tokens[0],
            output_tokens=requirements.tokens[1],
            aim_seconds=requirements.aim_at - now,
            pause_aim_seconds=requirements.route.pause_aim_seconds,
            leader=requirements.leader,
        )
        by_id = {target.id: target for target in ready}
        in_cell = [target.id for target in self._restrict_to_cell(requirements, ready)]
        known = self.usage.get_usage(now)

        def plan_among(names: Collection[str]) -> PrefillPlan | None:
            return plan_prefill(
                prompt,
                sorted(names, key=_compute_order_key),
                known,
                service.engine,
                self._state.random,
                self.usage.has_fresh_hints(now),
                {name: by_id[name].failure_domain for name in names},
                self._state.settings.failure_domain,
            )

        plan = plan_among(in_cell)
        if len(in_cell) < len(by_id) and self.allows_cross_cell(requirements.service):
            plan = widen_plan(plan, prompt, lambda: plan_among(by_id))
        if plan is not None and any(
            map(self.send_limits.is_rate_limited, plan.prefill_engines[1:])
        ):
            # A target's rate limit does not count the prefill that it does for others.
            is_limited = self.send_limits.is_rate_limited
            free = [name for name in in_cell if not is_limited(name)]
            plan = plan_among(free) or plan
        if plan is None:
            return None
        return SendChoice(
            target=by_id[plan.leader],
            helpers=tuple(by_id[name] for name in plan.prefill_engines[1:]),
            plan=plan,
            work=plan.build_work(prompt, now),
        )


@lru_cache(MAX_CACHED_ORDER_KEYS)
def _compute_order_key(target_id: str) -> bytes:
    """Return the key by which all hosts sort the targets alike."""
    return hashlib.blake2b(target_id.encode(), digest_size=8).digest()
