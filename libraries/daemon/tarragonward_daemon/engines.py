"""Speak to engines: open, resume and cancel streams, and read load reports."""

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
from tarragonward_wire import HttpStream, async_open_http, async_send_http

from . import const as c

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
    """Report that the engine had no room and ran nothing."""


class StreamGoneError(TargetError):
    """Report that the engine does not know the stream."""


class EngineSilentError(TargetError):
    """Report that the engine answers nothing at all."""


@singledispatch
def get_fault(error: TargetError) -> AttemptFault:
    """Return what the life cycle calls an error of an engine."""
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
    """Text of an engine's stream after offset tokens of the answer, one piece each."""

    offset: int
    pieces: tuple[str, ...]


@dataclass(frozen=True)
class StreamEnd:
    """The engine says that the answer is whole."""

    tokens: int
    finish_reason: str


@dataclass(frozen=True)
class EngineStream:
    """One stream on one engine; its id names its owner."""

    target: Target
    stream_id: str
    owner: HostIdentity

    @asynccontextmanager
    async def async_open(self, body: dict[str, Any]) -> AsyncIterator[HttpStream]:
        """Start the stream; raise TargetError where the engine refuses it."""
        payload = {**body, "stream_id": self.stream_id, "owner": str(self.owner)}
        async with async_open_http(
            self.target.address, "POST", "/v1/streams", body=orjson.dumps(payload)
        ) as stream:
            self._check_status(stream.status)
            yield stream

    @asynccontextmanager
    async def async_resume(self, offset: int) -> AsyncIterator[HttpStream]:
        """Go on reading after offset tokens; raise TargetError if it is gone."""
        path = f"/v1/streams/{self.stream_id}?offset={offset}"
        async with async_open_http(self.target.address, "GET", path) as stream:
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
    """Give what an engine's stream says; lines that came together are one text.

    Raise ConnectionLostError where it breaks off, TargetError where it says what is
    not understood. How long it may stay silent is for EngineProbes to say.
    """
    remainder = b""
    async for chunk in stream.async_iterate_chunks():
        *lines, remainder = (remainder + chunk).split(b"\n")
        for item in _join_lines(lines):
            yield item


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
        raise TargetError(f"the engine's stream is not valid: {err!r}") from None
    if pieces:
        joined.append(StreamText(first_offset, tuple(pieces)))
    return joined


class Releases:
    """Own the cancelling of streams, so that it outlives the request it is for."""

    def __init__(self) -> None:
        self._tasks: dict[asyncio.Task[None], str] = {}

    @property
    def pending_ids(self) -> set[str]:
        """Return the ids of streams and reservations that are being cancelled."""
        return set(self._tasks.values())

    def release_stream(self, target: Target, stream_id: str) -> None:
        """Cancel a stream in the background until the engine has said it is gone."""
        self._start(target, "/v1/streams/", stream_id)

    def release_reservation(self, target: Target, reservation_id: str) -> None:
        """Cancel a reservation in the background, in the same way."""
        self._start(target, "/v1/reservations/", reservation_id)

    async def async_setup(self) -> None:
        """Do nothing: releases start as they come."""

    async def async_unload(self) -> None:
        """Wait for the releases under way, then stop."""
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
        # A cancel can be lost with its connection or its frozen engine. Symptom: the
        # engine keeps memory for a stream that nobody reads. Repeating it until it was
        # answered is enough: it is idempotent, jitter keeps many hosts' repeats apart,
        # and what outlives the limit is found by the sweep.
        loop = asyncio.get_running_loop()
        retry_until = loop.time() + c.CANCEL_RETRY_LIMIT_SECONDS
        delay = c.CANCEL_RETRY_DELAY_SECONDS
        while loop.time() < retry_until:
            try:
                await async_send_http(
                    target.address, "DELETE", path, timeout=c.CANCEL_TIMEOUT_SECONDS
                )
                return
            except TargetError:
                await asyncio.sleep(delay * random.uniform(0.5, 1.5))
                delay = min(delay * 2, c.MAX_CANCEL_RETRY_DELAY_SECONDS)
        log_event("release_failed", target=target.name, path=path)
