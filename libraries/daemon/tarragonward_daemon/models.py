"""Run model requests: carry the life cycle's effects to engines and caller."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Protocol

from tarragonward_config import ClientAccount, Target
from tarragonward_core import (
    ConnectionLostError,
    RequestRefusedError,
    ResultCode,
    TargetError,
    get_length_class,
    log_event,
)
from tarragonward_placement import Placed, Placement, PlacementRequest, Refused
from tarragonward_requests import (
    AttemptFailed,
    AttemptFinished,
    CancelAttempt,
    DeadlinePassed,
    DeliverText,
    Effect,
    EndRequest,
    Event,
    PlacementRefused,
    RequestLifecycle,
    RetryBudget,
    StartAttempt,
    TextArrived,
)

from .completions import Completion
from .core import HostState
from .engines import (
    EngineStream,
    Releases,
    StreamEnd,
    async_read_stream,
)
from .membership import MembershipTask
from .reports import ReportTask

__all__ = ["ModelRequests", "Sink"]

MAX_QUEUED_EVENTS = 16


class Sink(Protocol):
    """Where an answer's text goes."""

    def note_target(self, target: str) -> None:
        """Note which engine the answer comes from."""

    async def async_deliver(self, text: str, tokens: int) -> None:
        """Give text of so many tokens to the caller; wait while it has no room."""


@dataclass
class _Attempt:
    number: int
    engine: Target
    stream: EngineStream
    task: asyncio.Task[None] | None = None
    is_released: bool = False


class ModelRequests:
    """Make the tasks of model requests, and hold what they share."""

    def __init__(
        self,
        host: HostState,
        reports: ReportTask,
        releases: Releases,
        membership: MembershipTask,
    ) -> None:
        self.host = host
        self.reports = reports
        self.releases = releases
        self.membership = membership
        self.placement = Placement()
        self.budget = RetryBudget()

    def get_engines(self, model: str) -> list[Target]:
        """Return the engines of a model that take new work."""
        leaving = self.membership.leaving_targets
        engines = self.host.configuration.get_engines(model)
        return [engine for engine in engines if engine.name not in leaving]

    async def async_run(
        self,
        request_id: str,
        account: ClientAccount,
        completion: Completion,
        deadline: float,
        sink: Sink,
    ) -> EndRequest:
        """Run one request to its end; deadline is in the loop's time."""
        if completion.model not in self.host.configuration.models:
            raise RequestRefusedError(ResultCode.UNKNOWN_MODEL)
        run = _ModelRequest(self, request_id, account, completion, deadline, sink)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(run.async_unload)
            return await run.async_run()


class _ModelRequest:
    """One request's task: it owns the life cycle, the attempt and the event queue."""

    def __init__(
        self,
        shared: ModelRequests,
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
        self._lifecycle = RequestLifecycle(request_id, deadline, shared.budget)
        # Bounded: a slow reader stops the attempt's reading, and so the engine's.
        self._events: asyncio.Queue[Event] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self._given_out: list[str] = []
        self._attempt: _Attempt | None = None
        self._failed_engines: set[str] = set()
        self._started_at = self._loop.time()
        self._end: EndRequest | None = None

    async def async_run(self) -> EndRequest:
        effects = self._lifecycle.start(self._loop.time())
        while True:
            for effect in effects:
                await self._async_apply(effect)
            if self._end is not None:
                return self._end
            event = await self._async_next_event()
            effects = self._lifecycle.handle(event, self._loop.time())

    async def async_unload(self) -> None:
        """Release what the request still holds, however it ended."""
        await self._async_leave_attempt()
        self._shared.placement.release(self._request_id)

    async def _async_next_event(self) -> Event:
        try:
            async with asyncio.timeout_at(self._lifecycle.deadline):
                return await self._events.get()
        except TimeoutError:
            return DeadlinePassed()

    @singledispatchmethod
    async def _async_apply(self, effect: Effect) -> None:
        raise TypeError(f"not an effect: {effect!r}")

    @_async_apply.register
    async def _(self, effect: StartAttempt) -> None:
        if effect.resume and self._attempt is not None:
            attempt = _Attempt(
                effect.attempt, self._attempt.engine, self._attempt.stream
            )
            self._attempt.is_released = True
            await self._async_leave_attempt()
        else:
            await self._async_leave_attempt()
            placed = self._place()
            if isinstance(placed, Refused):
                refused = PlacementRefused(
                    effect.attempt, placed.code, placed.retry_after_seconds
                )
                self._events.put_nowait(refused)
                return
            attempt = self._build_attempt(effect.attempt, placed)
        self._attempt = attempt
        self._sink.note_target(attempt.engine.name)
        attempt.task = asyncio.create_task(self._async_attempt(attempt, effect))

    @_async_apply.register
    async def _(self, effect: CancelAttempt) -> None:
        await self._async_leave_attempt()

    @_async_apply.register
    async def _(self, effect: DeliverText) -> None:
        if not self._given_out:
            self._shared.host.metrics.observe(
                "time_to_first_token",
                self._loop.time() - self._started_at,
                self._account.name,
                get_length_class(self._completion.prompt_tokens),
            )
        self._given_out.append(effect.text)
        await self._sink.async_deliver(effect.text, effect.tokens)

    @_async_apply.register
    async def _(self, effect: EndRequest) -> None:
        self._end = effect

    def _place(self) -> Placed | Refused:
        engines = self._shared.get_engines(self._completion.model)
        usable = [e for e in engines if e.name not in self._failed_engines]
        now = self._loop.time()
        self._shared.placement.release(self._request_id)
        request = PlacementRequest(
            request_id=self._request_id,
            account=self._account.name,
            model=self._completion.model,
            prompt_tokens=self._completion.prompt_tokens,
            max_tokens=self._completion.max_tokens,
            priority=self._completion.priority or self._account.priority,
            remaining_seconds=self._lifecycle.deadline - now,
        )
        views = self._shared.reports.build_views(usable or engines, now)
        return self._shared.placement.place(request, views, now)

    def _build_attempt(self, number: int, placed: Placed) -> _Attempt:
        engine = self._shared.host.configuration.targets[placed.engines[0]]
        stream_id = f"{self._request_id}-{number}"
        stream = EngineStream(engine, stream_id, self._shared.host.identity)
        return _Attempt(number, engine, stream)

    async def _async_attempt(self, attempt: _Attempt, effect: StartAttempt) -> None:
        try:
            await self._async_read_attempt(attempt, effect)
        except ConnectionLostError as err:
            await self._async_fail(attempt, True, repr(err))
        except TargetError as err:
            await self._async_fail(attempt, False, repr(err))

    async def _async_fail(
        self, attempt: _Attempt, can_resume: bool, reason: str
    ) -> None:
        log_event(
            "attempt_failed",
            request_id=self._request_id,
            client_account=self._account.name,
            target=attempt.engine.name,
            reason=reason,
        )
        if not can_resume:
            self._failed_engines.add(attempt.engine.name)
        await self._events.put(AttemptFailed(attempt.number, can_resume, reason))

    async def _async_read_attempt(
        self, attempt: _Attempt, effect: StartAttempt
    ) -> None:
        if effect.resume:
            opening = attempt.stream.async_resume(effect.offset)
        else:
            opening = attempt.stream.async_open(
                {
                    "model": self._completion.model,
                    "prompt": self._completion.prompt + "".join(self._given_out),
                    "max_tokens": self._completion.max_tokens - effect.offset,
                    "offset": effect.offset,
                    "sampling": self._completion.sampling,
                }
            )
        async with opening as stream:
            async for item in async_read_stream(stream):
                if isinstance(item, StreamEnd):
                    attempt.is_released = True
                    event: Event = AttemptFinished(
                        attempt.number, item.tokens, item.finish_reason
                    )
                else:
                    event = TextArrived(
                        attempt.number, item.offset, item.tokens, item.text
                    )
                await self._events.put(event)
                if attempt.is_released:
                    return
        raise ConnectionLostError("the stream ended without its finish")

    async def _async_leave_attempt(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is None:
            return
        if attempt.task is not None:
            attempt.task.cancel()
            await asyncio.gather(attempt.task, return_exceptions=True)
        if not attempt.is_released:
            attempt.is_released = True
            self._shared.releases.release_stream(
                attempt.engine, attempt.stream.stream_id
            )
