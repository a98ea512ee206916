"""Simulate one prompt from its host through its engines to its caller's timeout."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tarragonward_gateway import const as gateway_const
from tarragonward_placement import PromptRequirements
from tarragonward_standins.platform_engine import PassWork

from .arrivals import Outcome
from .engine import EngineNode, EngineRequest
from .policies import Decision, HostPolicy
from .site import PromptKind, Site

__all__ = ["PROCESSING_SECONDS", "Fleet", "Host", "PromptRun"]

HANDSHAKE_SECONDS = 0.001
MAX_SENDS = 2
MIN_CALLER_TIMEOUT_SECONDS = 2.0
CALLER_TIMEOUT_AIMS = 4
CALLER_TIMEOUT_PAUSES = 8
# One-way processing time of a host and an engine together.
PROCESSING_SECONDS = 0.002


@dataclass(eq=False)
class Host:
    """An entry host: its zone and its placement policy."""

    zone: str
    policy: HostPolicy


class Fleet(Protocol):
    """The interface of the fleet that a prompt runs on."""

    now: float
    engines: dict[str, EngineNode]
    hosts: list[Host]
    site: Site
    receives_request_counts: bool

    def choose(
        self, host: Host, requirements: PromptRequirements, tried: set[str]
    ) -> Decision | None:
        """Let a host decide where to send a prompt."""

    def call_later(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""

    def random(self) -> float:
        """Return a random number from 0 up to but excluding 1."""


class PromptRun:
    """The life cycle of one prompt at its host, its engines and its caller."""

    def __init__(self, fleet: Fleet, outcome: Outcome) -> None:
        assert isinstance(outcome.arrival.kind, PromptKind)
        self._fleet, self._outcome = fleet, outcome
        self._kind = outcome.arrival.kind
        self._host = fleet.hosts[outcome.arrival.host]
        self._tried: set[str] = set()
        self._decision: Decision | None = None
        self._work: PassWork | None = None
        self._parts: list[tuple[EngineNode, PassWork]] = []
        self._has_ended = False

    def send(self, attempt: int = 0) -> None:
        """Choose engines, reserve memory if one engine has too little, and send."""
        fleet, arrival = self._fleet, self._outcome.arrival
        site, kind = fleet.site, self._kind
        output_tokens = arrival.events * site.event_tokens
        requirements = PromptRequirements(
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=output_tokens,
            aim_seconds=arrival.at + kind.aim_ms / 1_000 - fleet.now,
            pause_aim_seconds=kind.pause_aim_ms / 1_000,
        )
        decision = None
        if self._outcome.sends < MAX_SENDS:
            decision = fleet.choose(self._host, requirements, self._tried)
        if decision is None:
            self._outcome.is_refused = self._has_ended = True
            return
        self._decision = decision
        self._outcome.placed_at = fleet.now
        self._host.policy.begin(decision)
        if decision.reserved_tokens:
            self._reserve(sorted(decision.reserved_tokens), 0, attempt)
        else:
            self._send_to_engine()

    def _reserve(self, names: list[str], position: int, attempt: int) -> None:
        """Reserve memory engine by engine in order of name, as the product does."""
        if position == len(names):
            self._send_to_engine()
            return
        fleet, decision = self._fleet, self._decision
        assert decision is not None
        engine = fleet.engines[names[position]]
        delay = self._get_delay(engine)

        def reserve() -> None:
            tokens = decision.reserved_tokens[engine.name]
            is_reserved = engine.reserve(self._reservation_id, tokens, fleet.now)
            fleet.call_later(delay, lambda: handle_answer(is_reserved))

        def handle_answer(is_reserved: bool) -> None:
            if is_reserved:
                self._reserve(names, position + 1, attempt)
            else:
                self._retry_reservation(engine.name, attempt)

        fleet.call_later(delay + HANDSHAKE_SECONDS, reserve)

    def _retry_reservation(self, full_engine: str, attempt: int) -> None:
        fleet, decision = self._fleet, self._decision
        assert decision is not None
        self._release(decision)
        self._host.policy.end(decision)
        if attempt + 1 >= gateway_const.MAX_RESERVATION_ATTEMPTS:
            self._outcome.is_refused = self._has_ended = True
            return
        if self._host.policy.usage is not None:
            self._host.policy.usage.mark_full(full_engine, fleet.now)
        wait = gateway_const.RESERVATION_RETRY_SECONDS * 2**attempt
        fleet.call_later(fleet.random() * wait, lambda: self.send(attempt + 1))

    @property
    def _reservation_id(self) -> str:
        return str(self._outcome.arrival.number)

    def _release(self, decision: Decision) -> None:
        for name in decision.reserved_tokens:
            engine = self._fleet.engines[name]
            delay = self._get_delay(engine)
            self._fleet.call_later(delay, self._make_release(engine))

    def _make_release(self, engine: EngineNode) -> Callable[[], None]:
        return lambda: engine.release(self._reservation_id, self._fleet.now)

    def _send_to_engine(self) -> None:
        fleet, decision = self._fleet, self._decision
        assert decision is not None
        self._outcome.sends += 1
        self._outcome.prefill_engines = (decision.leader, *decision.helpers)
        self._outcome.predicted_seconds = decision.predicted_seconds
        self._tried.add(decision.leader)
        engine = fleet.engines[decision.leader]
        fleet.call_later(self._get_delay(engine) + HANDSHAKE_SECONDS, self._arrive)

    def _get_delay(self, engine: EngineNode) -> float:
        return (
            self._fleet.site.get_delay(self._host.zone, engine.zone)
            + PROCESSING_SECONDS / 2
        )

    def _arrive(self) -> None:
        fleet, arrival, decision = self._fleet, self._outcome.arrival, self._decision
        assert decision is not None
        engine, site = fleet.engines[decision.leader], fleet.site
        output_tokens = arrival.events * site.event_tokens
        reserved_total = sum(decision.reserved_tokens.values())
        is_too_large = (
            arrival.prompt_tokens + output_tokens - reserved_total
            > site.sizes.memory_tokens
        )
        helpers = [fleet.engines[name] for name in decision.helpers]
        is_full = len(engine.engine.waiting) >= site.queue
        if (
            is_too_large
            or is_full
            or any(h.part_count >= site.sizes.slots for h in helpers)
        ):
            fleet.call_later(self._get_delay(engine), self._handle_refusal)
            return
        engine_count = len(helpers) + 1
        part_tokens = -(-arrival.prompt_tokens // engine_count)
        self._work = PassWork(
            str(arrival.number),
            arrival.prompt_tokens,
            output_tokens,
            part_tokens=part_tokens,
            pending_parts=len(helpers),
            hop_ms=site.sizes.hop_ms if helpers else 0.0,
            # The leader holds the parts of helpers that have no reservation.
            reserved_tokens=part_tokens - arrival.prompt_tokens + reserved_total,
        )
        request = EngineRequest(
            self._work, self._handle_event, self._handle_end, arrival.events
        )
        engine.add(request, fleet.now)
        for helper in helpers:
            fleet.call_later(
                site.get_delay(engine.zone, helper.zone),
                self._make_part(helper, engine, part_tokens),
            )
        fleet.call_later(self._get_caller_timeout(), self._check_caller_timeout)

    def _make_part(
        self, helper: EngineNode, engine: EngineNode, tokens: int
    ) -> Callable[[], None]:
        prompt = self._outcome.arrival.prompt_tokens
        work = PassWork(
            f"part of {self._outcome.arrival.number}",
            prompt,
            0,
            part_tokens=tokens,
            is_part=True,
            reserved_tokens=tokens,
        )
        delay = self._fleet.site.get_delay(engine.zone, helper.zone)

        is_retained = (
            self._decision is not None and helper.name in self._decision.reserved_tokens
        )

        def begin() -> None:
            if not self._has_ended:
                self._parts.append((helper, work))
                helper.add_part(work, is_retained, send_back, self._fleet.now)

        def send_back() -> None:
            self._fleet.call_later(delay, receive_part)

        def receive_part() -> None:
            leader_work = self._work
            assert leader_work is not None
            leader_work.pending_parts -= 1
            if (
                leader_work.is_prefilled
                and not leader_work.pending_parts
                and not self._has_ended
            ):
                engine.emit_first_event(leader_work, self._fleet.now)
                engine.resume(self._fleet.now)

        return begin

    def _handle_refusal(self) -> None:
        assert self._decision is not None
        self._release(self._decision)
        self._host.policy.end(self._decision)
        self.send()

    def _handle_event(self, now: float) -> None:
        outcome, site = self._outcome, self._fleet.site
        assert self._decision is not None
        engine = self._fleet.engines[self._decision.leader]
        delay = self._get_delay(engine)
        if outcome.first_event_seconds is None:
            outcome.first_event_seconds = (
                now + delay + site.client_seconds - outcome.arrival.at
            )
            requests = engine.requests
            self._fleet.call_later(
                delay, lambda: self._receive_first_event(engine.name, requests)
            )
        else:
            pause = now - outcome.last_event_at
            outcome.longest_pause = max(outcome.longest_pause, pause)
            self._record_pass(engine.name, pause)
        outcome.last_event_at = now

    def _record_pass(self, engine: str, pause: float) -> None:
        decision, usage = self._decision, self._host.policy.usage
        if decision is not None and decision.pass_seconds and usage is not None:
            usage.record_pass(engine, pause / decision.pass_seconds, self._fleet.now)

    def _receive_first_event(self, engine: str, requests: int) -> None:
        assert self._decision is not None
        self._outcome.observed_seconds = self._fleet.now - self._outcome.placed_at
        if self._decision.work is not None:
            self._decision.work.first_event_at = self._fleet.now
        usage = self._host.policy.usage
        if usage is not None and self._fleet.receives_request_counts:
            usage.record_request_count(engine, requests, self._fleet.now)

    def _handle_end(self, now: float) -> None:
        self._outcome.is_complete = self._has_ended = True
        self._release_all()

    def _release_all(self) -> None:
        assert self._decision is not None
        decision = self._decision
        delay = self._get_delay(self._fleet.engines[decision.leader])
        self._release(decision)
        for helper, work in self._parts:
            helper.remove(work)
        self._fleet.call_later(delay, lambda: self._host.policy.end(decision))

    # A caller leaves after a long gap between events, and at its deadline.

    def _get_caller_timeout(self) -> float:
        kind = self._kind
        aims = (
            CALLER_TIMEOUT_AIMS * kind.aim_ms,
            CALLER_TIMEOUT_PAUSES * kind.pause_aim_ms,
        )
        return max(MIN_CALLER_TIMEOUT_SECONDS, *(aim / 1_000 for aim in aims))

    def _check_caller_timeout(self) -> None:
        if self._has_ended:
            return
        outcome, fleet = self._outcome, self._fleet
        since = outcome.last_event_at or outcome.arrival.at
        timeout_at = min(
            since + self._get_caller_timeout(),
            outcome.arrival.at + self._kind.deadline_ms / 1_000,
        )
        if fleet.now < timeout_at:
            fleet.call_later(timeout_at - fleet.now, self._check_caller_timeout)
            return
        self._has_ended = True
        assert self._decision is not None and self._work is not None
        fleet.engines[self._decision.leader].remove(self._work)
        self._release_all()
