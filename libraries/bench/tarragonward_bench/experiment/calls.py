"""Simulate plain service calls: slots, work times, failures and one retry."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from .arrivals import Outcome
from .engine import Schedule
from .site import CallKind, Site

__all__ = ["CallService"]

MAX_SENDS = 2


class CallService:
    """Targets with a few slots each; a call goes to the one with the fewest calls.

    The compared policies place prompts only; calls are placed the same way in all.
    """

    def __init__(self, site: Site, schedule: Schedule, rng: Random) -> None:
        self._site, self._schedule, self._rng = site, schedule, rng
        self._running = [0] * site.call_targets
        self._waiting: list[deque[Callable[[float], None]]] = [
            deque() for _ in self._running
        ]

    def send(self, outcome: Outcome, now: float, excluded_target: int = -1) -> None:
        """Send a call to the target with the fewest running and waiting calls."""
        targets = [t for t in range(len(self._running)) if t != excluded_target] or [0]
        target = min(
            targets,
            key=lambda t: (
                self._running[t] + len(self._waiting[t]),
                self._rng.random(),
            ),
        )
        outcome.sends += 1
        delay = self._site.cross_zone_seconds
        self._schedule(now + delay, lambda: self._arrive(outcome, target, now + delay))

    def _arrive(self, outcome: Outcome, target: int, now: float) -> None:
        if self._running[target] < self._site.call_slots:
            self._start(outcome, target, now)
        else:
            self._waiting[target].append(lambda at: self._start(outcome, target, at))

    def _start(self, outcome: Outcome, target: int, now: float) -> None:
        self._running[target] += 1
        end = now + outcome.arrival.work_seconds
        self._schedule(end, lambda: self._end(outcome, target, end))

    def _end(self, outcome: Outcome, target: int, now: float) -> None:
        self._running[target] -= 1
        if self._waiting[target]:
            self._waiting[target].popleft()(now)
        kind = outcome.arrival.kind
        assert isinstance(kind, CallKind)
        delay = self._site.cross_zone_seconds
        fails = outcome.sends <= outcome.arrival.failures
        if fails and kind.may_repeat and outcome.sends < MAX_SENDS:
            self._schedule(now + delay, lambda: self.send(outcome, now + delay, target))
            return
        seconds = now + delay + self._site.client_seconds - outcome.arrival.at
        if not fails and seconds <= kind.deadline_ms / 1_000:
            outcome.first_event_seconds, outcome.is_complete = seconds, True
