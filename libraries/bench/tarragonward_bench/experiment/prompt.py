"""Take one prompt through the experiment, from its host to its caller's patience."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from tarragonward_gateway import const as gateway_const
from tarragonward_placement import PromptRequirements
from tarragonward_standins.platform_engine import PassWork

from .arrivals import Outcome
from .engine import EngineNode, Run
from .policies import HostPolicy, Sending
from .site import PromptKind, Site

__all__ = ["HANDLING_SECONDS", "Fleet", "Host", "PromptRun"]

HANDSHAKE_SECONDS = 0.001
MAX_SENDS = 2
MIN_LEAVE_SECONDS = 2.0
LEAVE_AIMS = 4
LEAVE_PAUSES = 8
# What a host and a runner themselves need of a request's way, one way.
HANDLING_SECONDS = 0.002


@dataclass(eq=False)
class Host:
    """An entry host: where it is, and what it decides with."""

    zone: str
    policy: HostPolicy


class Fleet(Protocol):
    """What a prompt needs of the fleet that it runs on."""

    now: float
    engines: dict[str, EngineNode]
    hosts: list[Host]
    site: Site
    hears_counts: bool

    def choose(
        self, host: Host, need: PromptRequirements, tried: set[str]
    ) -> Sending | None:
        """Let a host decide."""

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""

    def draw(self) -> float:
        """Return a random number from 0 up to 1."""


class PromptRun:
    """One prompt on its way: at its host, its engines, and its caller."""

    def __init__(self, fleet: Fleet, outcome: Outcome) -> None:
        assert isinstance(outcome.arrival.kind, PromptKind)
        self._fleet, self._outcome = fleet, outcome
        self._kind = outcome.arrival.kind
        self._host = fleet.hosts[outcome.arrival.host]
        self._tried: set[str] = set()
        self._sending: Sending | None = None
        self._work: PassWork | None = None
        self._parts: list[tuple[EngineNode, PassWork]] = []
        self._has_ended = False

    def send(self, tries: int = 0) -> None:
        """Choose, hold memory where one engine has too little, and send once."""
        fleet, arrival = self._fleet, self._outcome.arrival
        site, kind = fleet.site, self._kind
        answer = arrival.events * site.event_tokens
        need = PromptRequirements(
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=answer,
            aim_seconds=arrival.at + kind.aim_ms / 1_000 - fleet.now,
            pause_aim_seconds=kind.pause_aim_ms / 1_000,
        )
        sending = None
        if self._outcome.sends < MAX_SENDS:
            sending = fleet.choose(self._host, need, self._tried)
        if sending is None:
            self._outcome.is_refused = self._has_ended = True
            return
        self._sending = sending
        self._outcome.placed_at = fleet.now
        self._host.policy.begin(sending)
        if sending.tickets:
            self._reserve(sorted(sending.tickets), 0, tries)
        else:
            self._go()

    def _reserve(self, names: list[str], place: int, tries: int) -> None:
        """Hold a part after the other in engine order, as the product does."""
        if place == len(names):
            self._go()
            return
        fleet, sending = self._fleet, self._sending
        assert sending is not None
        engine = fleet.engines[names[place]]
        way = self._get_way(engine)

        def ask() -> None:
            tokens = sending.tickets[engine.name]
            is_held = engine.hold(self._ticket, tokens, fleet.now)
            fleet.after(way, lambda: answered(is_held))

        def answered(is_held: bool) -> None:
            if is_held:
                self._reserve(names, place + 1, tries)
            else:
                self._give_back(engine.name, tries)

        fleet.after(way + HANDSHAKE_SECONDS, ask)

    def _give_back(self, full: str, tries: int) -> None:
        fleet, sending = self._fleet, self._sending
        assert sending is not None
        self._release(sending)
        self._host.policy.end(sending)
        if tries + 1 >= gateway_const.MAX_RESERVATION_ATTEMPTS:
            self._outcome.is_refused = self._has_ended = True
            return
        if self._host.policy.book is not None:
            self._host.policy.book.mark_full(full, fleet.now)
        wait = gateway_const.RESERVATION_RETRY_SECONDS * 2**tries
        fleet.after(fleet.draw() * wait, lambda: self.send(tries + 1))

    @property
    def _ticket(self) -> str:
        return str(self._outcome.arrival.number)

    def _release(self, sending: Sending) -> None:
        for name in sending.tickets:
            engine = self._fleet.engines[name]
            way = self._get_way(engine)
            self._fleet.after(way, self._make_release(engine))

    def _make_release(self, engine: EngineNode) -> Callable[[], None]:
        return lambda: engine.release(self._ticket, self._fleet.now)

    def _go(self) -> None:
        fleet, sending = self._fleet, self._sending
        assert sending is not None
        self._outcome.sends += 1
        self._outcome.readers = (sending.leader, *sending.helpers)
        self._outcome.predicted = sending.predicted_seconds
        self._tried.add(sending.leader)
        engine = fleet.engines[sending.leader]
        fleet.after(self._get_way(engine) + HANDSHAKE_SECONDS, self._reach)

    def _get_way(self, engine: EngineNode) -> float:
        return (
            self._fleet.site.get_delay(self._host.zone, engine.zone)
            + HANDLING_SECONDS / 2
        )

    def _reach(self) -> None:
        fleet, arrival, sending = self._fleet, self._outcome.arrival, self._sending
        assert sending is not None
        engine, site = fleet.engines[sending.leader], fleet.site
        answer = arrival.events * site.event_tokens
        apart = sum(sending.tickets.values())
        is_too_large = arrival.prompt_tokens + answer - apart > site.sizes.memory_tokens
        helpers = [fleet.engines[name] for name in sending.helpers]
        is_full = len(engine.engine.waiting) >= site.queue
        if is_too_large or is_full or any(h.parts >= site.sizes.slots for h in helpers):
            fleet.after(self._get_way(engine), self._turned_away)
            return
        readers = len(helpers) + 1
        part = -(-arrival.prompt_tokens // readers)
        self._work = PassWork(
            str(arrival.number),
            arrival.prompt_tokens,
            answer,
            part_tokens=part,
            waits_for=len(helpers),
            hop_ms=site.sizes.hop_ms if helpers else 0.0,
            # The first engine holds what its helpers read and hold no ticket for.
            ticket_tokens=part - arrival.prompt_tokens + apart,
        )
        run = Run(self._work, self._note_event, self._note_end, arrival.events)
        engine.add(run, fleet.now)
        for helper in helpers:
            fleet.after(
                site.get_delay(engine.zone, helper.zone),
                self._make_part(helper, engine, part),
            )
        fleet.after(self._get_patience(), self._check_patience)

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
            ticket_tokens=tokens,
        )
        delay = self._fleet.site.get_delay(engine.zone, helper.zone)

        holds = self._sending is not None and helper.name in self._sending.tickets

        def begin() -> None:
            if not self._has_ended:
                self._parts.append((helper, work))
                helper.add_part(work, holds, told, self._fleet.now)

        def told() -> None:
            self._fleet.after(delay, read)

        def read() -> None:
            own = self._work
            assert own is not None
            own.waits_for -= 1
            if own.is_read and not own.waits_for and not self._has_ended:
                engine.give_first(own, self._fleet.now)
                engine.wake(self._fleet.now)

        return begin

    def _turned_away(self) -> None:
        assert self._sending is not None
        self._release(self._sending)
        self._host.policy.end(self._sending)
        self.send()

    def _note_event(self, now: float) -> None:
        outcome, site = self._outcome, self._fleet.site
        assert self._sending is not None
        engine = self._fleet.engines[self._sending.leader]
        way = self._get_way(engine)
        if outcome.first is None:
            outcome.first = now + way + site.client_seconds - outcome.arrival.at
            requests = engine.requests
            self._fleet.after(way, lambda: self._hear_first(engine.name, requests))
        else:
            pause = now - outcome.last_event
            outcome.worst_pause = max(outcome.worst_pause, pause)
            self._note_pass(engine.name, pause)
        outcome.last_event = now

    def _note_pass(self, engine: str, pause: float) -> None:
        sending, book = self._sending, self._host.policy.book
        if sending is not None and sending.pass_seconds and book is not None:
            book.record_pass(engine, pause / sending.pass_seconds, self._fleet.now)

    def _hear_first(self, engine: str, requests: int) -> None:
        assert self._sending is not None
        self._outcome.heard = self._fleet.now - self._outcome.placed_at
        if self._sending.work is not None:
            self._sending.work.first_event_at = self._fleet.now
        book = self._host.policy.book
        if book is not None and self._fleet.hears_counts:
            book.record_request_count(engine, requests, self._fleet.now)

    def _note_end(self, now: float) -> None:
        self._outcome.is_whole = self._has_ended = True
        self._free()

    def _free(self) -> None:
        assert self._sending is not None
        sending = self._sending
        way = self._get_way(self._fleet.engines[sending.leader])
        self._release(sending)
        for helper, work in self._parts:
            helper.remove(work)
        self._fleet.after(way, lambda: self._host.policy.end(sending))

    # A caller leaves after a long gap, and at its deadline.

    def _get_patience(self) -> float:
        kind = self._kind
        aims = LEAVE_AIMS * kind.aim_ms, LEAVE_PAUSES * kind.pause_aim_ms
        return max(MIN_LEAVE_SECONDS, *(aim / 1_000 for aim in aims))

    def _check_patience(self) -> None:
        if self._has_ended:
            return
        outcome, fleet = self._outcome, self._fleet
        since = outcome.last_event or outcome.arrival.at
        gone_at = min(
            since + self._get_patience(),
            outcome.arrival.at + self._kind.deadline_ms / 1_000,
        )
        if fleet.now < gone_at:
            fleet.after(gone_at - fleet.now, self._check_patience)
            return
        self._has_ended = True
        assert self._sending is not None and self._work is not None
        fleet.engines[self._sending.leader].remove(self._work)
        self._free()
