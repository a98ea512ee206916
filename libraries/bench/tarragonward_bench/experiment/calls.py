"""Play the plain calls of the experiment: slots, work, failures and one repeat."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from .arrivals import Outcome
from .engine import Clock
from .site import CallKind, Site

__all__ = ["CallService"]

MAX_SENDS = 2


class CallService:
    """Targets with a few slots each; a call goes to the one with the fewest.

    The policies under trial are those for prompts: calls are the same for all.
    """

    def __init__(self, site: Site, at: Clock, rng: Random) -> None:
        self._site, self._at, self._rng = site, at, rng
        self._running = [0] * site.call_targets
        self._waiting: list[deque[Callable[[float], None]]] = [
            deque() for _ in self._running
        ]

    def send(self, outcome: Outcome, now: float, left_out: int = -1) -> None:
        """Send a call to the least busy target."""
        places = [p for p in range(len(self._running)) if p != left_out] or [0]
        place = min(
            places,
            key=lambda p: (
                self._running[p] + len(self._waiting[p]),
                self._rng.random(),
            ),
        )
        outcome.sends += 1
        way = self._site.cross_zone_seconds
        self._at(now + way, lambda: self._reach(outcome, place, now + way))

    def _reach(self, outcome: Outcome, place: int, now: float) -> None:
        if self._running[place] < self._site.call_slots:
            self._start(outcome, place, now)
        else:
            self._waiting[place].append(lambda at: self._start(outcome, place, at))

    def _start(self, outcome: Outcome, place: int, now: float) -> None:
        self._running[place] += 1
        end = now + outcome.arrival.work_seconds
        self._at(end, lambda: self._end(outcome, place, end))

    def _end(self, outcome: Outcome, place: int, now: float) -> None:
        self._running[place] -= 1
        if self._waiting[place]:
            self._waiting[place].popleft()(now)
        kind = outcome.arrival.kind
        assert isinstance(kind, CallKind)
        way = self._site.cross_zone_seconds
        fails = outcome.sends <= outcome.arrival.failures
        if fails and kind.may_repeat and outcome.sends < MAX_SENDS:
            self._at(now + way, lambda: self.send(outcome, now + way, place))
            return
        seconds = now + way + self._site.client_seconds - outcome.arrival.at
        if not fails and seconds <= kind.deadline_ms / 1_000:
            outcome.first, outcome.is_whole = seconds, True
