"""Play one engine of the experiment: passes in simulated time, events as they come."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_standins.platform_engine import (
    PassEngine,
    PassResult,
    PassSizes,
    PassWork,
)

__all__ = ["Clock", "EngineNode", "Run"]

# Longer than any run: in the experiment no host dies with what it holds.
HOLD_SECONDS = 1e6
STATUS_HELD = 200

Clock = Callable[[float, Callable[[], None]], None]


@dataclass(eq=False)
class Run:
    """One prompt at its engine; whoever sent it hears of events by the callbacks."""

    work: PassWork
    on_event: Callable[[float], None]
    on_end: Callable[[float], None]
    events_left: int


@dataclass(frozen=True)
class Busy:
    """A span of an engine's time: what it wrote and read in it."""

    begin: float
    end: float
    writers: int
    read_tokens: int


class EngineNode:
    """An engine, its queue, and the passes one after the other."""

    def __init__(
        self, name: str, zone: str, sizes: PassSizes, event_tokens: int, after: Clock
    ) -> None:
        self.name, self.zone = name, zone
        self.engine = PassEngine(sizes)
        self.busy: list[Busy] = []
        self._event_tokens = event_tokens
        self._after = after
        self._runs: dict[PassWork, Run] = {}
        self._part_ends: dict[PassWork, Callable[[], None]] = {}
        self._holders: set[PassWork] = set()
        self._is_in_pass = False

    @property
    def requests(self) -> int:
        """Return how many requests run or wait here."""
        return len(self._runs)

    @property
    def parts(self) -> int:
        """Return how many parts of others' prompts are read here."""
        return len(self._part_ends)

    def add(self, run: Run, now: float) -> None:
        """Queue a request."""
        self._runs[run.work] = run
        self.engine.add(run.work)
        self._start(now)

    def add_part(
        self, work: PassWork, holds: bool, on_read: Callable[[], None], now: float
    ) -> None:
        """Read a part of a prompt that another engine answers, and hold it or not."""
        self._part_ends[work] = on_read
        if holds:
            self._holders.add(work)
        self.engine.add(work)
        self._start(now)

    def wake(self, now: float) -> None:
        """Go on where a request may write now."""
        self._start(now)

    def hold(self, ticket: str, tokens: int, now: float) -> bool:
        """Set memory aside; return whether there was enough."""
        status = self.engine.reserve(ticket, tokens, HOLD_SECONDS, False, now)
        return status == STATUS_HELD

    def release(self, ticket: str, now: float) -> None:
        """Free what was set aside, for those that wait for memory."""
        self.engine.release(ticket)
        self._start(now)

    def remove(self, work: PassWork) -> None:
        """Drop a request or a part."""
        self._runs.pop(work, None)
        self._part_ends.pop(work, None)
        self._holders.discard(work)
        self.engine.remove(work)

    def _start(self, now: float) -> None:
        if self._is_in_pass or not self.engine.has_work:
            return
        self._is_in_pass = True
        before = {work: work.read for work in self.engine.running}
        result = self.engine.begin_pass()
        tokens = sum(work.read - before.get(work, 0) for work in set(result.read))
        end = now + result.seconds
        self.busy.append(Busy(now, end, len(result.written), tokens))
        self._after(end, lambda: self._end(result, end))

    def _end(self, result: PassResult, now: float) -> None:
        self._is_in_pass = False
        read = self.engine.end_pass(result)
        for work, _ in result.written:
            self._give_event(work, now)
        for work in dict.fromkeys(read):
            self._note_read(work, now)
        self._start(now)

    def _note_read(self, work: PassWork, now: float) -> None:
        on_read = self._part_ends.pop(work, None)
        if on_read is not None:
            # A holder's passes are slowed by its part until the answer has ended.
            if work not in self._holders:
                self.engine.remove(work)
            on_read()
        elif work in self._runs and not work.waits_for and not work.written:
            self.give_first(work, now)

    def give_first(self, work: PassWork, now: float) -> None:
        """Give out the first event: the prompt has been read by all its readers."""
        work.written += 1
        self._give_event(work, now)

    def _give_event(self, work: PassWork, now: float) -> None:
        run = self._runs.get(work)
        if run is None:
            return
        run.events_left -= 1
        run.on_event(now)
        if run.events_left <= 0:
            self.remove(work)
            run.on_end(now)
