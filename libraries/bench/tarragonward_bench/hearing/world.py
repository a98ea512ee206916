"""A simulated clock, network and source of publications for randomised runs."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from tarragonward_gateway import combine_revision, get_epoch, get_number
from tarragonward_gateway.ports import Page, Record, Records

__all__ = ["Answer", "FakeSource", "Links", "NoResponse", "World"]

ANSWER_SECONDS = 0.004
REFUSAL_SECONDS = 0.003
MIN_DELAY_SECONDS = 0.001
MAX_DELAY_SECONDS = 0.005
TABLE_KEY = "table"
MAX_PAGE_RECORDS = 50
RATE_WINDOW_SECONDS = 0.1


@dataclass(frozen=True)
class NoResponse:
    """The source gave no records; is_history_lost if it has compacted that revision."""

    is_history_lost: bool = False


Answer = Records | Page | NoResponse
Reply = Callable[[Answer], None]


class World:
    """The simulated clock and its queue of scheduled actions."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1_000.0
        self.events = 0
        self._order = itertools.count()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []

    def schedule_at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now if that has passed."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._order), action))

    def schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.schedule_at(self.now + seconds, action)

    def run(self, until: float) -> None:
        """Run all actions that are due up to a time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            self.events += 1
            action()
        self.now = until

    def sample_delay(self) -> float:
        """Return a random network delay in seconds."""
        return self.random.uniform(MIN_DELAY_SECONDS, MAX_DELAY_SECONDS)


@dataclass
class Links:
    """Network partitions: the hosts of a partition reach only each other.

    partition_reaches_source is set if the partition still reaches the source.
    """

    loss: float = 0.0
    partition: frozenset[int] = frozenset()
    partition_reaches_source: bool = False
    isolated_hosts: set[int] = field(default_factory=set)

    def is_cut(self, one: int, other: int) -> bool:
        """Return whether two hosts can't reach each other."""
        is_partitioned = (one in self.partition) != (other in self.partition)
        return (
            is_partitioned or one in self.isolated_hosts or other in self.isolated_hosts
        )

    def is_cut_off_from_source(self, host: int) -> bool:
        """Return whether a host can't reach the source."""
        return host in self.isolated_hosts or (
            host in self.partition and not self.partition_reaches_source
        )


@dataclass
class _OpenWatch:
    host: int
    after: int
    reply: Reply
    is_open: bool = True


class FakeSource:
    """Publishes records; serves paged reads and watches, or fails those of some hosts.

    calls counts the calls that are priced: each page of a read, and each watch. Calls
    of all hosts together beyond max_reads_per_second are refused.
    """

    def __init__(
        self, world: World, max_reads_per_second: float = float("inf")
    ) -> None:
        self._world = world
        self._max_reads_per_window = max_reads_per_second * RATE_WINDOW_SECONDS
        self._window_began_at = world.now
        self._window_reads = 0
        self._records: dict[str, Record] = {}
        self._compacted_revision = 0
        self._log: list[tuple[float, Record]] = []
        self._open_watches: list[_OpenWatch] = []
        self.revision = 1
        self.calls = 0
        self.is_down = False
        self.refused_hosts: set[int] = set()
        self.silent_hosts: set[int] = set()

    @property
    def log(self) -> list[tuple[float, Record]]:
        """Return each change with the time of its acknowledgement."""
        return self._log

    def put(self, key: str, value: bytes | None) -> None:
        """Publish or delete a value, and answer the open watches."""
        self.revision += 1
        record = Record(key, self.revision, value)
        if value is None:
            self._records.pop(key, None)
        else:
            self._records[key] = record
        self._log.append((self._world.now, record))
        watches, self._open_watches = self._open_watches, []
        for watch in watches:
            self._world.schedule_after(
                ANSWER_SECONDS, lambda watch=watch: self._answer_watch(watch)
            )

    def has(self, key: str) -> bool:
        """Return whether an item is published under a key."""
        return key in self._records

    def compact_history(self) -> None:
        """Drop the history of changes; open watches continue."""
        self._compacted_revision = self.revision

    def restore_copy(self, copied_at: float) -> dict[str, bytes | None]:
        """Come back from a copy of an earlier time, in a new epoch.

        Return the keys whose changes are lost, with their lost values.
        """
        epoch = get_epoch(self.revision) + 1
        lost = {r.key: r.value for at, r in self._log if at > copied_at}
        self._log = [(at, r) for at, r in self._log if at <= copied_at]
        number = max((get_number(r.revision) for _, r in self._log), default=1)
        self.revision = combine_revision(epoch, number)
        self._records = {}
        for _, record in self._log:
            self._records.pop(record.key, None)
            if record.value is not None:
                revision = combine_revision(epoch, get_number(record.revision))
                self._records[record.key] = replace(record, revision=revision)
        self._compacted_revision = self.revision
        watches, self._open_watches = self._open_watches, []
        for watch in watches:
            watch.reply(NoResponse())
        return lost

    def drop_watches(self, host: int) -> None:
        """Never answer the open watches of a host."""
        self._open_watches = [
            watch for watch in self._open_watches if watch.host != host
        ]

    def read_page(self, host: int, after: str, reply: Reply) -> None:
        """Answer with the page of records that follow a key."""
        if not self._is_served(host, reply):
            return
        keys = sorted(key for key in self._records if key > after)
        page, is_last = keys[:MAX_PAGE_RECORDS], len(keys) <= MAX_PAGE_RECORDS
        records = tuple(self._records[key] for key in page)
        result = Page(records, self.revision, None if is_last else page[-1])
        self._world.schedule_after(ANSWER_SECONDS, lambda: reply(result))

    def watch(self, host: int, after: int, seconds: float, reply: Reply) -> None:
        """Answer with the changes after a revision, or with none after a timeout."""
        if not self._is_served(host, reply):
            return
        is_other_epoch = get_epoch(after) != get_epoch(self.revision)
        if is_other_epoch or after < self._compacted_revision:
            self._world.schedule_after(
                ANSWER_SECONDS, lambda: reply(NoResponse(is_history_lost=True))
            )
            return
        watch = _OpenWatch(host, after, reply)
        if after < self.revision:
            self._world.schedule_after(
                ANSWER_SECONDS, lambda: self._answer_watch(watch)
            )
            return
        self._open_watches.append(watch)
        self._world.schedule_after(seconds, lambda: self._end_watch(watch))

    def _is_served(self, host: int, reply: Reply) -> bool:
        self.calls += 1
        if host in self.silent_hosts:
            return False
        if self.is_down or host in self.refused_hosts or self._is_over_limit():
            self._world.schedule_after(REFUSAL_SECONDS, lambda: reply(NoResponse()))
            return False
        return True

    def _is_over_limit(self) -> bool:
        if self._world.now - self._window_began_at >= RATE_WINDOW_SECONDS:
            self._window_began_at, self._window_reads = self._world.now, 0
        self._window_reads += 1
        return self._window_reads > self._max_reads_per_window

    def _answer_watch(self, watch: _OpenWatch) -> None:
        if watch.is_open and watch.host not in self.silent_hosts:
            watch.is_open = False
            changed = {r.key: r for _, r in self._log if r.revision > watch.after}
            watch.reply(Records(tuple(changed.values()), self.revision))

    def _end_watch(self, watch: _OpenWatch) -> None:
        if watch in self._open_watches:
            self._open_watches.remove(watch)
            self._answer_watch(watch)
