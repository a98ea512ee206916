"""Run one model request: apply its life cycle's effects to engines and caller."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import AsyncIterator
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial, singledispatch
from typing import Protocol

from tarragonward_config import ClientAccount, Target
from tarragonward_core import (
    ConnectionLostError,
    TargetError,
    get_length_class,
    log_event,
)
from tarragonward_placement import (
    Placed,
    Placement,
    PlacementRequest,
    Refused,
)
from tarragonward_requests import (
    AttemptFailed,
    AttemptFault,
    AttemptFinished,
    CallerDisconnected,
    CancelAttempt,
    DeadlineTimerFired,
    DeliverText,
    DrainTimeoutExpired,
    Effect,
    EndRequest,
    Event,
    OutlierDetector,
    PlacementRefused,
    PromptBlamed,
    RequestLifecycle,
    RetryBudget,
    StartAttempt,
    TextArrived,
    Verdict,
)

from . import const as c
from .completions import Completion
from .core import HostState
from .engine_probes import EngineProbes
from .engines import (
    EngineStream,
    Releases,
    StreamEnd,
    StreamText,
    async_read_stream,
    get_fault,
)
from .groups import GroupHold, GroupReserver
from .membership import MembershipTask
from .prefixes import PrefixTask, hash_prompt
from .reports import ReportTask, build_fleet_view
from .suspects import PromptIdentity, SuspectTask

__all__ = ["ModelRun", "Sink"]

MAX_QUEUED_EVENTS = 16
TRANSIENT_FAULTS = frozenset({AttemptFault.CONNECTION_LOST, AttemptFault.STREAM_GONE})


class Sink(Protocol):
    """The receiver of an answer's text."""

    def set_target(self, target: str) -> None:
        """Set the engine that produces the answer."""

    async def async_deliver(self, text: str, tokens: int) -> None:
        """Deliver text with its number of tokens; wait if the caller reads slowly."""


class SharedResources(Protocol):
    """What the model requests of one host share."""

    host: HostState
    reports: ReportTask
    releases: Releases
    membership: MembershipTask
    placement: Placement
    prefixes: PrefixTask
    budget: RetryBudget
    outliers: OutlierDetector
    probes: EngineProbes
    active_streams: set[str]
    groups: GroupReserver
    suspects: SuspectTask

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target must get no new work."""

    def get_engines(self, model: str) -> list[Target]:
        """Return the engines of a model that accept new work."""


@dataclass(eq=False)
class _StreamReader:
    """A stream while it is read; silent_since is event loop time."""

    stream: EngineStream
    task: asyncio.Task[None]
    silent_since: float | None = None
    is_released: bool = False
    interruption: TargetError | None = None

    @property
    def target(self) -> Target:
        return self.stream.target

    @property
    def stream_id(self) -> str:
        return self.stream.stream_id

    def interrupt(self, error: TargetError) -> None:
        if self.interruption is None and not self.task.done():
            self.interruption = error
            self.task.cancel()


@dataclass(eq=False)
class _Attempt:
    """One attempt's task, and its stream reader once it was placed."""

    number: int
    task: asyncio.Task[None] | None = None
    reader: _StreamReader | None = None
    is_abandoned: bool = False
    resumed: EngineStream | None = None


class ModelRun:
    """Run one request: it owns the life cycle, the attempt and the event queue."""

    def __init__(
        self,
        shared: SharedResources,
        request_id: str,
        account: ClientAccount,
        completion: Completion,
        deadline: float,
        sink: Sink,
    ) -> None:
        self._shared = shared
        self._request_id = request_id
        self._account = account
        self._completion = completion
        self._sink = sink
        self._loop = asyncio.get_running_loop()
        self._lifecycle = RequestLifecycle(
            request_id, deadline, shared.budget, completion.max_tokens
        )
        # Bounded for backpressure: a slow caller pauses the reading from the engine.
        self._events: asyncio.Queue[Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self._delivered_texts: list[str] = []
        self._attempt: _Attempt | None = None
        self._failed_engines: set[str] = set()
        self._group = GroupHold(shared.groups)
        self._prefix_hashes = hash_prompt(completion.prompt)
        self._identity = PromptIdentity(account.name, completion, self._prefix_hashes)
        self._opened_at = self._loop.time()
        self._started_at = self._loop.time()
        self._end: EndRequest | None = None

    async def async_run(self) -> EndRequest:
        """Run the request to its terminal event."""
        effects = self._lifecycle.start(self._loop.time())
        while True:
            for effect in effects:
                await _async_apply(effect, self)
            if self._end is not None:
                return self._end
            event = await self._async_next_event()
            effects = self._lifecycle.handle(event, self._loop.time())

    async def async_unload(self) -> None:
        """Release everything that the request still holds, however it ended."""
        if not self._lifecycle.has_ended:
            self._lifecycle.handle(CallerDisconnected(), self._loop.time())
        await self._async_abandon_attempt()
        await self._group.async_release()
        self._shared.placement.release(self._request_id)

    def stop(self) -> None:
        """End the request, discarding its queued events."""
        while not self._events.empty():
            self._events.get_nowait()
        self._events.put_nowait(DrainTimeoutExpired())

    async def _async_next_event(self) -> Event:
        try:
            async with asyncio.timeout_at(self._lifecycle.deadline):
                return await self._events.get()
        except TimeoutError:
            return DeadlineTimerFired()

    async def _async_attempt(self, attempt: _Attempt, effect: StartAttempt) -> None:
        try:
            await asyncio.sleep(effect.delay_seconds * random.uniform(0.5, 1.5))
            await self._events.put(await self._async_run_attempt(attempt, effect))
        except TargetError as err:
            await self._events.put(await self._async_record_failure(attempt, err))
        except asyncio.CancelledError:
            reader = attempt.reader
            if attempt.is_abandoned or reader is None or reader.interruption is None:
                raise
            failure = await self._async_record_failure(attempt, reader.interruption)
            await self._events.put(failure)

    async def _async_run_attempt(
        self, attempt: _Attempt, effect: StartAttempt
    ) -> Event:
        # The process may have been paused since this attempt was decided, and the
        # caller may be gone. After a pause later than this check, the engine works
        # only until the deadline's event cancels the stream.
        if self._loop.time() >= self._lifecycle.deadline:
            return DeadlineTimerFired()
        stream = attempt.resumed
        if stream is not None and self._shared.is_leaving(stream.target):
            self._shared.releases.release_stream(stream.target, stream.stream_id)
            stream = None
        with ExitStack() as stack:
            if stream is None:
                blamed = self._check_suspect(effect.attempt, stack)
                if blamed is not None:
                    return blamed
            return await self._async_place_attempt(attempt, effect, stream)

    def _check_suspect(self, attempt: int, stack: ExitStack) -> PromptBlamed | None:
        """Return how to end a prompt that may crash another engine, else None."""
        suspects = self._shared.suspects
        found = self._suspect_verdict = suspects.evaluate(self._identity)
        if found.verdict is Verdict.REFUSED:
            suspects.record_refused(self._identity, found)
            return PromptBlamed(attempt)
        if found.verdict is Verdict.LATER:
            suspects.record_deferred(self._identity, found)
            return PromptBlamed(attempt, found.wait_seconds)
        if found.verdict is Verdict.ALONE:
            stack.enter_context(suspects.isolated_attempt(self._identity, found))
        if attempt == 1:
            suspects.record_admitted(self._identity)
        return None

    async def _async_place_attempt(
        self, attempt: _Attempt, effect: StartAttempt, stream: EngineStream | None
    ) -> Event:
        is_resumed = stream is not None
        if stream is None:
            name = f"{self._request_id}-{effect.attempt}"
            placed = await self._group.async_place(
                partial(self._place, effect.attempt), name
            )
            if isinstance(placed, Refused):
                return PlacementRefused(
                    effect.attempt, placed.code, placed.retry_after_seconds
                )
            stream = self._build_stream(effect.attempt, placed)
            self._opened_at = self._loop.time()
        assert attempt.task is not None
        attempt.reader = _StreamReader(stream, attempt.task)
        with ExitStack() as stack:
            self._shared.probes.watch(attempt.reader)
            stack.callback(self._shared.probes.unwatch, attempt.reader)
            return await self._async_read_attempt(attempt, effect, is_resumed)

    def _place(self, attempt: int) -> Placed | Refused:
        shared, now = self._shared, self._loop.time()
        engines = shared.get_engines(self._completion.model)
        names = [e.name for e in engines if e.name not in self._failed_engines]
        names = shared.outliers.select(names or [e.name for e in engines], now)
        shared.placement.release(self._request_id)
        available = [engine for engine in engines if engine.name in names]
        fleet = build_fleet_view(shared.host, shared.membership, self._completion.model)
        placed = shared.placement.place(
            self.build_placement_request(attempt, now),
            shared.reports.build_views(available, now),
            now,
            fleet,
        )
        shared.membership.set_own_demand(shared.placement.get_demand(now))
        return placed

    def build_placement_request(self, attempt: int, now: float) -> PlacementRequest:
        """Return the placement request for an attempt, counted from 1."""
        # Admission refuses requests that are predicted to end late, and its predictions
        # are cautious: applied to a failover, it would abort an admitted answer with
        # seconds to spare. After the first attempt only the deadline ends a request.
        remaining = self._lifecycle.deadline - now if attempt == 1 else math.inf
        delivered = self._lifecycle.delivered_tokens
        return PlacementRequest(
            request_id=self._request_id,
            account=self._account.name,
            model=self._completion.model,
            prompt_tokens=self._completion.prompt_tokens + delivered,
            max_tokens=self._completion.max_tokens - delivered,
            priority=self._get_priority(),
            remaining_seconds=remaining,
            prefix_hashes=self._prefix_hashes,
        )

    def _get_priority(self) -> int:
        requested = self._completion.priority
        return self._account.priority if requested is None else requested

    def _build_stream(self, number: int, placed: Placed) -> EngineStream:
        engine = self._shared.host.configuration.targets[placed.engines[0]]
        self._sink.set_target(engine.name)
        stream_id = f"{self._request_id}-{number}"
        self._shared.prefixes.mark_used(engine)
        host = self._shared.host
        connect = host.get_connector(engine)
        return EngineStream(engine, stream_id, host.identity, connect)

    async def _async_record_failure(
        self, attempt: _Attempt, error: TargetError
    ) -> Event:
        fault = await self._async_find_fault(attempt, error)
        self._count("attempts_failed", fault.name)
        target = ""
        if attempt.reader is not None:
            target = attempt.reader.target.name
            is_new = self._shared.outliers.record_failure(
                target, fault, self._loop.time()
            )
            if is_new:
                log_event("target_excluded", target=target, reason=fault.value)
            # An engine that lost a connection or a stream may be healthy, and may be
            # the only one left, so it can be chosen again. Outlier detection counts
            # these faults.
            if fault not in TRANSIENT_FAULTS:
                self._failed_engines.add(target)
            if fault is AttemptFault.CRASHED:
                suspects = self._shared.suspects
                suspects.record_crash(
                    self._identity, target, self._opened_at, self._suspect_verdict
                )
        log_event(
            "attempt_failed",
            request_id=self._request_id,
            client_account=self._account.name,
            target=target,
            reason=repr(error),
        )
        return AttemptFailed(attempt.number, fault)

    async def _async_find_fault(
        self, attempt: _Attempt, error: TargetError
    ) -> AttemptFault:
        """Return why an attempt failed, after a look at an engine that lost it."""
        fault = get_fault(error)
        is_refused_resume = (
            attempt.resumed is not None and fault is AttemptFault.NOT_CONNECTED
        )
        is_lost = fault is AttemptFault.CONNECTION_LOST or is_refused_resume
        if attempt.reader is None or not is_lost:
            return fault
        # Whether the request may be sent again must not decide what is known of it.
        has_ended = await self._shared.probes.async_has_ended(attempt.reader.target)
        return AttemptFault.CRASHED if has_ended else fault

    def _count(self, name: str, label: str) -> None:
        self._shared.host.metrics.count(name, label, self._account.name)

    async def _async_read_attempt(
        self, attempt: _Attempt, effect: StartAttempt, is_resumed: bool
    ) -> Event:
        reader = attempt.reader
        assert reader is not None
        reader.silent_since = self._loop.time()
        self._shared.active_streams.add(reader.stream_id)
        if is_resumed:
            opening = reader.stream.async_resume(effect.offset)
        else:
            opening = reader.stream.async_open(self._build_body(effect.offset))
        async with opening as stream:
            items = async_read_stream(stream)
            async for item in items:
                if isinstance(item, StreamEnd):
                    await self._async_drain_stream(reader, items)
                    self._shared.outliers.record_success(reader.target.name)
                    suspects = self._shared.suspects
                    suspects.record_answered(self._identity, self._opened_at)
                    self._shared.placement.note_finished(
                        self._request_id, item.tokens, self._loop.time()
                    )
                    return AttemptFinished(
                        attempt.number, item.tokens, item.finish_reason
                    )
                reader.silent_since = None
                await self._events.put(
                    TextArrived(attempt.number, item.offset, item.pieces)
                )
                reader.silent_since = self._loop.time()
        raise ConnectionLostError("stream ended without a finish line")

    def _build_body(self, offset: int) -> dict[str, object]:
        return {
            "model": self._completion.model,
            "prompt": self._completion.prompt + "".join(self._delivered_texts),
            "max_tokens": self._completion.max_tokens - offset,
            "offset": offset,
            "sampling": self._completion.sampling,
            "prefix_hashes": self._prefix_hashes,
            **self._group.build_fields(),
        }

    async def _async_drain_stream(
        self, reader: _StreamReader, items: AsyncIterator[StreamText | StreamEnd]
    ) -> None:
        # An engine frees a stream that was read to its end. If the connection were
        # closed at the finish line, the engine would see a lost reader and keep the
        # memory. If the end does not arrive in time, the stream is cancelled.
        try:
            async with asyncio.timeout(c.STREAM_END_TIMEOUT_SECONDS):
                async for _ in items:
                    pass
            reader.is_released = True
        except (TimeoutError, TargetError):
            pass

    async def _async_abandon_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        attempt.is_abandoned = True
        if attempt.task is not None:
            attempt.task.cancel()
            await asyncio.gather(attempt.task, return_exceptions=True)
        reader = attempt.reader
        stream = attempt.resumed if reader is None else reader.stream
        if stream is None:
            return
        self._shared.active_streams.discard(stream.stream_id)
        if reader is None or not reader.is_released:
            self._shared.releases.release_stream(stream.target, stream.stream_id)


@singledispatch
async def _async_apply(effect: Effect, run: ModelRun) -> None:
    raise TypeError(f"unknown effect: {effect!r}")


@_async_apply.register
async def _(effect: StartAttempt, run: ModelRun) -> None:
    attempt = _Attempt(effect.attempt)
    previous = run._attempt
    if effect.resume and previous is not None and previous.reader is not None:
        attempt.resumed = previous.reader.stream
        previous.reader.is_released = True
    await run._async_abandon_attempt()
    run._attempt = attempt
    attempt.task = asyncio.create_task(run._async_attempt(attempt, effect))


@_async_apply.register
async def _(effect: CancelAttempt, run: ModelRun) -> None:
    await run._async_abandon_attempt()


@_async_apply.register
async def _(effect: DeliverText, run: ModelRun) -> None:
    if not run._delivered_texts:
        now = run._loop.time()
        run._shared.placement.note_first_token(run._request_id, now)
        run._shared.host.metrics.observe(
            "time_to_first_token",
            run._loop.time() - run._started_at,
            run._account.name,
            get_length_class(run._completion.prompt_tokens),
        )
    run._delivered_texts.append(effect.text)
    # Without a timeout, a caller that stops reading would keep the request here past
    # its deadline, and its engine busy. The next event then detects the deadline.
    timeout = asyncio.timeout_at(run._lifecycle.deadline)
    try:
        async with timeout:
            await run._sink.async_deliver(effect.text, effect.tokens)
    except TimeoutError:
        if not timeout.expired():
            raise


@_async_apply.register
async def _(effect: EndRequest, run: ModelRun) -> None:
    run._end = effect
