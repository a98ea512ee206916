"""Open, resume, read and cancel streams on engines."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import singledispatch
from typing import Any

import orjson

from tarragonward_config import Target
from tarragonward_core import (
    ConnectionLostError,
    HostIdentity,
    NotConnectedError,
    TargetError,
    log_event,
)
from tarragonward_requests import AttemptFault
from tarragonward_wire import Connector, HttpStream, async_open_http, async_send_http

from . import const as c
from .core import HostState

__all__ = [
    "EngineRefusedError",
    "EngineSilentError",
    "EngineStream",
    "Releases",
    "StreamEnd",
    "StreamGoneError",
    "StreamText",
    "async_read_stream",
    "get_fault",
]

GONE_STATUSES = frozenset({404, 410})
REFUSED_STATUSES = frozenset({429, 503, 507})


class EngineRefusedError(TargetError):
    """The engine refused for lack of capacity and ran nothing."""


class StreamGoneError(TargetError):
    """The engine does not know the stream."""


class EngineSilentError(TargetError):
    """The engine does not answer, probes included."""


@singledispatch
def get_fault(error: TargetError) -> AttemptFault:
    """Return the fault that the request's life cycle handles for an engine's error."""
    return AttemptFault.INVALID


@get_fault.register
def _(error: NotConnectedError) -> AttemptFault:
    return AttemptFault.NOT_CONNECTED


@get_fault.register
def _(error: ConnectionLostError) -> AttemptFault:
    return AttemptFault.CONNECTION_LOST


@get_fault.register
def _(error: EngineRefusedError) -> AttemptFault:
    return AttemptFault.REFUSED


@get_fault.register
def _(error: StreamGoneError) -> AttemptFault:
    return AttemptFault.STREAM_GONE


@get_fault.register
def _(error: EngineSilentError) -> AttemptFault:
    return AttemptFault.SILENT


@dataclass(frozen=True)
class StreamText:
    """Text of a stream after offset tokens of the answer; one piece for each token."""

    offset: int
    pieces: tuple[str, ...]


@dataclass(frozen=True)
class StreamEnd:
    """The engine's report that the answer is complete."""

    tokens: int
    finish_reason: str


@dataclass(frozen=True)
class EngineStream:
    """One stream on one engine, with the host that owns it."""

    target: Target
    stream_id: str
    owner: HostIdentity
    connect: Connector | None = None

    @asynccontextmanager
    async def async_open(self, body: dict[str, Any]) -> AsyncIterator[HttpStream]:
        """Start the stream; raise TargetError if the engine refuses it."""
        payload = {**body, "stream_id": self.stream_id, "owner": str(self.owner)}
        async with async_open_http(
            self.target.address,
            "POST",
            "/v1/streams",
            body=orjson.dumps(payload),
            connect=self.connect,
        ) as stream:
            self._check_status(stream.status)
            yield stream

    @asynccontextmanager
    async def async_resume(self, offset: int) -> AsyncIterator[HttpStream]:
        """Resume reading after offset tokens; raise StreamGoneError if it is gone."""
        path = f"/v1/streams/{self.stream_id}?offset={offset}"
        async with async_open_http(
            self.target.address, "GET", path, connect=self.connect
        ) as stream:
            self._check_status(stream.status)
            yield stream

    def _check_status(self, status: int) -> None:
        if status == 200:
            return
        message = f"{self.target.name} answered {status}"
        if status in REFUSED_STATUSES:
            raise EngineRefusedError(message)
        if status in GONE_STATUSES:
            raise StreamGoneError(message)
        raise TargetError(message)


async def async_read_stream(
    stream: HttpStream,
) -> AsyncIterator[StreamText | StreamEnd]:
    """Yield an engine's stream; lines received together become one StreamText.

    Raise ConnectionLostError if the connection is lost, TargetError if a line is
    invalid. There is no timeout here: EngineProbes detects silent engines.
    """
    remainder = b""
    async for chunk in stream.async_iterate_chunks():
        *lines, remainder = (remainder + chunk).split(b"\n")
        for item in _join_lines(lines):
            yield item
        if len(remainder) > c.MAX_STREAM_LINE_BYTES:
            raise TargetError("engine sent a stream line without an end")


def _join_lines(lines: list[bytes]) -> list[StreamText | StreamEnd]:
    joined: list[StreamText | StreamEnd] = []
    pieces: list[str] = []
    first_offset = 0
    try:
        for item in (orjson.loads(line) for line in lines if line):
            is_text = "text" in item
            if pieces and not (
                is_text and item["offset"] == first_offset + len(pieces)
            ):
                joined.append(StreamText(first_offset, tuple(pieces)))
                pieces = []
            if is_text:
                first_offset = first_offset if pieces else int(item["offset"])
                pieces.append(str(item["text"]))
            else:
                joined.append(StreamEnd(int(item["tokens"]), item["finish_reason"]))
    except (ValueError, KeyError, TypeError) as err:
        raise TargetError(f"engine sent an invalid stream line: {err!r}") from None
    if pieces:
        joined.append(StreamText(first_offset, tuple(pieces)))
    return joined


class Releases:
    """Cancel streams and reservations in tasks that outlive their requests."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._tasks: dict[asyncio.Task[None], str] = {}

    @property
    def pending_ids(self) -> set[str]:
        """Return the ids of streams and reservations whose cancel is in progress."""
        return set(self._tasks.values())

    def release_stream(self, target: Target, stream_id: str) -> None:
        """Cancel a stream in the background; retry until the engine confirms it."""
        self._start(target, "/v1/streams/", stream_id)

    def release_reservation(self, target: Target, reservation_id: str) -> None:
        """Cancel a reservation in the background; retry until the engine confirms."""
        self._start(target, "/v1/reservations/", reservation_id)

    async def async_setup(self) -> None:
        """Do nothing: each release starts its own task."""

    async def async_unload(self) -> None:
        """Wait a limited time for releases in progress, then cancel them."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=c.CANCEL_TIMEOUT_SECONDS)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start(self, target: Target, route: str, resource_id: str) -> None:
        if resource_id in self._tasks.values():
            return
        task = asyncio.create_task(self._async_cancel(target, route + resource_id))
        self._tasks[task] = resource_id
        task.add_done_callback(self._tasks.pop)

    async def _async_cancel(self, target: Target, path: str) -> None:
        # A cancel may be lost with its connection or on a hung engine, which then keeps
        # memory for a stream that nobody reads. It is idempotent and is retried until
        # the engine answers, with jitter to spread the retries of many hosts. The sweep
        # cancels streams that are left after the retry limit.
        loop = asyncio.get_running_loop()
        retry_until = loop.time() + c.CANCEL_RETRY_LIMIT_SECONDS
        delay = c.CANCEL_RETRY_DELAY_SECONDS
        while loop.time() < retry_until:
            try:
                await async_send_http(
                    target.address,
                    "DELETE",
                    path,
                    timeout=c.CANCEL_TIMEOUT_SECONDS,
                    connect=self._host.get_connector(target),
                )
                return
            except TargetError:
                await asyncio.sleep(delay * random.uniform(0.5, 1.5))
                delay = min(delay * 2, c.MAX_CANCEL_RETRY_DELAY_SECONDS)
        log_event("release_failed", target=target.name, path=path)
