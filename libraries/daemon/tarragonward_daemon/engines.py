"""Speak to engines: open, resume and cancel streams, and read load reports."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import orjson

from tarragonward_config import Target
from tarragonward_core import (
    ConnectionLostError,
    HostIdentity,
    TargetError,
    log_event,
)
from tarragonward_wire import HttpStream, async_open_http, async_send_http

from . import const as c

__all__ = ["EngineStream", "Releases", "StreamEnd", "StreamText"]


@dataclass(frozen=True)
class StreamText:
    """Text of an engine's stream after offset tokens of the answer."""

    offset: int
    tokens: int
    text: str


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
            if stream.status != 200:
                raise TargetError(f"{self.target.name} answered {stream.status}")
            yield stream

    @asynccontextmanager
    async def async_resume(self, offset: int) -> AsyncIterator[HttpStream]:
        """Go on reading after offset tokens; raise TargetError if it is gone."""
        path = f"/v1/streams/{self.stream_id}?offset={offset}"
        async with async_open_http(self.target.address, "GET", path) as stream:
            if stream.status != 200:
                raise TargetError(f"{self.target.name} answered {stream.status}")
            yield stream


async def async_read_stream(
    stream: HttpStream,
) -> AsyncIterator[StreamText | StreamEnd]:
    """Give what an engine's stream says; lines that came together are one text.

    Raise ConnectionLostError where it stays silent or breaks off, TargetError where
    it says what is not understood.
    """
    chunks = stream.async_iterate_chunks()
    rest = b""
    while True:
        try:
            async with asyncio.timeout(c.ENGINE_SILENCE_SECONDS):
                chunk = await anext(chunks)
        except TimeoutError:
            raise ConnectionLostError("the engine is silent") from None
        except StopAsyncIteration:
            return
        *lines, rest = (rest + chunk).split(b"\n")
        for item in _join_lines(lines):
            yield item


def _join_lines(lines: list[bytes]) -> list[StreamText | StreamEnd]:
    try:
        items = [orjson.loads(line) for line in lines if line]
        texts = [item for item in items if "text" in item]
        joined: list[StreamText | StreamEnd] = []
        if texts:
            offsets = [item["offset"] for item in texts]
            if offsets != list(range(offsets[0], offsets[0] + len(offsets))):
                raise TargetError("the engine's offsets have a gap")
            text = "".join(item["text"] for item in texts)
            joined.append(StreamText(offsets[0], len(texts), text))
        joined += [
            StreamEnd(item["tokens"], item["finish_reason"])
            for item in items
            if "finish_reason" in item
        ]
    except (orjson.JSONDecodeError, KeyError, TypeError) as err:
        raise TargetError(f"the engine's stream is not valid: {err!r}") from None
    return joined


class Releases:
    """Own the cancelling of streams, so that it outlives the request it is for."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def release_stream(self, target: Target, stream_id: str) -> None:
        """Cancel a stream in the background until the engine has said it is gone."""
        task = asyncio.create_task(self._async_cancel(target, stream_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def async_setup(self) -> None:
        """Do nothing: releases start as they come."""

    async def async_unload(self) -> None:
        """Wait for the releases under way, then stop."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=c.CANCEL_TIMEOUT_SECONDS)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_cancel(self, target: Target, stream_id: str) -> None:
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + c.CANCEL_RETRY_LIMIT_SECONDS
        while loop.time() < give_up_at:
            try:
                await async_send_http(
                    target.address,
                    "DELETE",
                    f"/v1/streams/{stream_id}",
                    timeout=c.CANCEL_TIMEOUT_SECONDS,
                )
                return
            except TargetError:
                await asyncio.sleep(c.CANCEL_RETRY_SECONDS)
        log_event("release_failed", target=target.name, stream_id=stream_id)
