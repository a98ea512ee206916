"""A fake clock, network and source of publications for the runs of hearing."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from tarragonward_gateway.ports import Page, Record, Records

__all__ = ["Answer", "FakeSource", "Links", "Lost", "World"]

ANSWER_SECONDS = 0.004
REFUSED_SECONDS = 0.003
MIN_DELAY_SECONDS = 0.001
MAX_DELAY_SECONDS = 0.005
TABLE_KEY = "table"
PAGE_ITEMS = 50
LIMIT_SECONDS = 0.1


@dataclass(frozen=True)
class Lost:
    """The source gave no answer; is_history where it dropped what was asked for."""

    is_history: bool = False


Answer = Records | Page | Lost
Reply = Callable[[Answer], None]


class World:
    """The clock, and what is to happen when."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.events = 0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Act at a time, not before now."""
        heapq.heappush(self._queue, (max(when, self.now), next(self._order), act))

    def after(self, seconds: float, act: Callable[[], None]) -> None:
        """Act so many seconds from now."""
        self.at(self.now + seconds, act)

    def run(self, until: float) -> None:
        """Let all happen that is due by a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            self.events += 1
            act()
        self.now = until

    def draw_delay(self) -> float:
        """Return how long something travels."""
        return self.random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)


@dataclass
class Links:
    """Which hosts hear each other: a side that is cut hears only itself.

    has_source is set where the side still reaches the source.
    """

    loss: float = 0.0
    side: frozenset[int] = frozenset()
    has_source: bool = False
    alone: set[int] = field(default_factory=set)

    def is_cut(self, one: int, other: int) -> bool:
        """Return whether two hosts can't reach each other."""
        is_apart = (one in self.side) != (other in self.side)
        return is_apart or one in self.alone or other in self.alone

    def is_out(self, host: int) -> bool:
        """Return whether a host can't reach the source."""
        return host in self.alone or (host in self.side and not self.has_source)


@dataclass
class _Waiting:
    host: int
    after: int
    reply: Reply
    is_open: bool = True


class FakeSource:
    """Publish records; answer readings by pages and watches, or fail some hosts.

    calls counts what is priced: each reading's page, and each watch. Calls beyond
    reads_a_second, of all hosts together, are refused.
    """

    def __init__(self, world: World, reads_a_second: float = float("inf")) -> None:
        self._world = world
        self._allowed = reads_a_second * LIMIT_SECONDS
        self._counted_from = world.now
        self._counted = 0
        self._records: dict[str, Record] = {}
        self._kept_after = 0
        self._log: list[tuple[float, Record]] = []
        self._waiting: list[_Waiting] = []
        self.revision = 1
        self.calls = 0
        self.is_down = False
        self.refused: set[int] = set()
        self.muted: set[int] = set()

    @property
    def log(self) -> list[tuple[float, Record]]:
        """Return each change with the time of its acknowledgement."""
        return self._log

    def put(self, key: str, value: bytes | None) -> None:
        """Publish a value, or withdraw it, and wake the watches."""
        self.revision += 1
        record = Record(key, self.revision, value)
        if value is None:
            self._records.pop(key, None)
        else:
            self._records[key] = record
        self._log.append((self._world.now, record))
        waiting, self._waiting = self._waiting, []
        for one in waiting:
            self._world.after(ANSWER_SECONDS, lambda one=one: self._wake(one))

    def drop_history(self) -> None:
        """Forget what changed; watches in progress go on."""
        self._kept_after = self.revision

    def drop_watches(self, host: int) -> None:
        """Let the watches of a host go silent for good."""
        self._waiting = [one for one in self._waiting if one.host != host]

    def read_page(self, host: int, after: str, reply: Reply) -> None:
        """Answer with the items that follow a key."""
        if not self._is_served(host, reply):
            return
        keys = sorted(key for key in self._records if key > after)
        page, is_last = keys[:PAGE_ITEMS], len(keys) <= PAGE_ITEMS
        records = tuple(self._records[key] for key in page)
        read = Page(records, self.revision, None if is_last else page[-1])
        self._world.after(ANSWER_SECONDS, lambda: reply(read))

    def watch(self, host: int, after: int, seconds: float, reply: Reply) -> None:
        """Answer with what changed after a revision, or nothing after a time."""
        if not self._is_served(host, reply):
            return
        if after < self._kept_after:
            self._world.after(ANSWER_SECONDS, lambda: reply(Lost(is_history=True)))
            return
        waiting = _Waiting(host, after, reply)
        if after < self.revision:
            self._world.after(ANSWER_SECONDS, lambda: self._wake(waiting))
            return
        self._waiting.append(waiting)
        self._world.after(seconds, lambda: self._end(waiting))

    def _is_served(self, host: int, reply: Reply) -> bool:
        self.calls += 1
        if host in self.muted:
            return False
        if self.is_down or host in self.refused or self._is_over_limit():
            self._world.after(REFUSED_SECONDS, lambda: reply(Lost()))
            return False
        return True

    def _is_over_limit(self) -> bool:
        if self._world.now - self._counted_from >= LIMIT_SECONDS:
            self._counted_from, self._counted = self._world.now, 0
        self._counted += 1
        return self._counted > self._allowed

    def _wake(self, waiting: _Waiting) -> None:
        if waiting.is_open and waiting.host not in self.muted:
            waiting.is_open = False
            changed = {r.key: r for _, r in self._log if r.revision > waiting.after}
            waiting.reply(Records(tuple(changed.values()), self.revision))

    def _end(self, waiting: _Waiting) -> None:
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self._wake(waiting)
