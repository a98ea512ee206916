"""Simulate one engine: its passes in simulated time, and the events they produce."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_standins.platform_engine import (
    PassEngine,
    PassResult,
    PassSizes,
    PassWork,
)

__all__ = ["EngineNode", "EngineRequest", "Schedule"]

# Longer than any run: no host fails here, so no reservation has to expire.
RESERVATION_SECONDS = 1e6
STATUS_RESERVED = 200

Schedule = Callable[[float, Callable[[], None]], None]


@dataclass(eq=False)
class EngineRequest:
    """One prompt at the engine that answers it, with the sender's callbacks."""

    work: PassWork
    on_event: Callable[[float], None]
    on_end: Callable[[float], None]
    remaining_events: int


@dataclass(frozen=True)
class PassSpan:
    """One pass of an engine: its time span, decoding requests and prefilled tokens."""

    begin: float
    end: float
    decoding_requests: int
    prefill_tokens: int


class EngineNode:
    """An engine, its queue and its passes, which run one at a time."""

    def __init__(
        self,
        name: str,
        zone: str,
        sizes: PassSizes,
        event_tokens: int,
        schedule: Schedule,
    ) -> None:
        self.name, self.zone = name, zone
        self.engine = PassEngine(sizes)
        self.passes: list[PassSpan] = []
        self._event_tokens = event_tokens
        self._schedule = schedule
        self._requests: dict[PassWork, EngineRequest] = {}
        self._part_callbacks: dict[PassWork, Callable[[], None]] = {}
        self._retained_parts: set[PassWork] = set()
        self._is_in_pass = False

    @property
    def requests(self) -> int:
        """Return the number of running and waiting requests."""
        return len(self._requests)

    @property
    def part_count(self) -> int:
        """Return the number of prompt parts prefilled here for other engines."""
        return len(self._part_callbacks)

    def add(self, request: EngineRequest, now: float) -> None:
        """Queue a request."""
        self._requests[request.work] = request
        self.engine.add(request.work)
        self._start(now)

    def add_part(
        self,
        work: PassWork,
        is_retained: bool,
        on_prefilled: Callable[[], None],
        now: float,
    ) -> None:
        """Prefill a part of a prompt that another engine answers.

        A retained part stays in memory until the answer has ended.
        """
        self._part_callbacks[work] = on_prefilled
        if is_retained:
            self._retained_parts.add(work)
        self.engine.add(work)
        self._start(now)

    def resume(self, now: float) -> None:
        """Start a pass if a request has become able to decode."""
        self._start(now)

    def reserve(self, reservation_id: str, tokens: int, now: float) -> bool:
        """Reserve memory; return whether there was enough."""
        status = self.engine.reserve(
            reservation_id, tokens, RESERVATION_SECONDS, False, now
        )
        return status == STATUS_RESERVED

    def release(self, reservation_id: str, now: float) -> None:
        """Release a reservation and let requests that wait for memory start."""
        self.engine.release(reservation_id)
        self._start(now)

    def remove(self, work: PassWork) -> None:
        """Drop a request or a part."""
        self._requests.pop(work, None)
        self._part_callbacks.pop(work, None)
        self._retained_parts.discard(work)
        self.engine.remove(work)

    def _start(self, now: float) -> None:
        if self._is_in_pass or not self.engine.has_work:
            return
        self._is_in_pass = True
        before = {work: work.prefilled_tokens for work in self.engine.running}
        result = self.engine.begin_pass()
        tokens = sum(
            work.prefilled_tokens - before.get(work, 0)
            for work in set(result.prefilled)
        )
        end = now + result.seconds
        self.passes.append(PassSpan(now, end, len(result.decoded), tokens))
        self._schedule(end, lambda: self._end(result, end))

    def _end(self, result: PassResult, now: float) -> None:
        self._is_in_pass = False
        read = self.engine.end_pass(result)
        for work, _ in result.decoded:
            self._emit_event(work, now)
        for work in dict.fromkeys(read):
            self._finish_prefill(work, now)
        self._start(now)

    def _finish_prefill(self, work: PassWork, now: float) -> None:
        on_prefilled = self._part_callbacks.pop(work, None)
        if on_prefilled is not None:
            # A retained part slows the passes of its engine until the answer has ended.
            if work not in self._retained_parts:
                self.engine.remove(work)
            on_prefilled()
        elif (
            work in self._requests
            and not work.pending_parts
            and not work.generated_tokens
        ):
            self.emit_first_event(work, now)

    def emit_first_event(self, work: PassWork, now: float) -> None:
        """Emit the first event, after all engines have prefilled their parts."""
        work.generated_tokens += 1
        self._emit_event(work, now)

    def _emit_event(self, work: PassWork, now: float) -> None:
        request = self._requests.get(work)
        if request is None:
            return
        request.remaining_events -= 1
        request.on_event(now)
        if request.remaining_events <= 0:
            self.remove(work)
            request.on_end(now)
