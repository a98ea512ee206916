"""Listen for other hosts and answer their messages."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from tarragonward_core import (
    Address,
    FrameError,
    HostIdentity,
    Metrics,
    log_event,
)

from . import const as c
from .codec import decode_message, encode_message
from .envelopes import ClockProbe, Envelope, NoAnswer
from .frames import FrameStream, async_shake_hands, count_bad_frame

__all__ = ["PeerServer"]

PeerHandler = Callable[[HostIdentity, Any], Awaitable[Any]]


class PeerServer:
    """Listen for other hosts and hand their messages to a handler.

    listen is where to listen, if it is not the identity's own address.
    """

    def __init__(
        self,
        identity: HostIdentity,
        key: bytes,
        handler: PeerHandler,
        metrics: Metrics,
        listen: Address | None = None,
    ) -> None:
        self._identity = identity
        self._key = key
        self._handler = handler
        self._metrics = metrics
        self._listen = listen or identity.address
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._links = 0

    async def async_setup(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._async_accept, self._listen.host, self._listen.port
        )

    async def async_unload(self) -> None:
        """Stop to listen and end all links."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._links >= c.MAX_LINKS_ACCEPTED:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._links += 1
        enable_keepalive(writer)
        try:
            stream = await async_shake_hands(
                reader, writer, self._identity, self._key, is_client=False
            )
            await self._async_serve(stream)
        except FrameError as err:
            count_bad_frame(err, writer.get_extra_info("peername"), self._metrics)
        except (OSError, EOFError, asyncio.CancelledError):
            # The end of this connection's own task; asyncio would log a cancelled one.
            pass
        finally:
            self._links -= 1
            self._tasks.discard(task)
            writer.transport.abort()

    async def _async_serve(self, stream: FrameStream) -> None:
        handling: set[asyncio.Task[None]] = set()
        try:
            while True:
                envelope = decode_message(await stream.async_receive())
                if not isinstance(envelope, Envelope):
                    raise FrameError("a message without its envelope")
                message = decode_message(envelope.body)
                is_busy = len(handling) >= c.MAX_HANDLERS_A_LINK
                task = asyncio.create_task(
                    self._async_answer(stream, envelope, message, is_busy)
                )
                # What wants no answer is handled to its end though the link has ended.
                tasks = handling if envelope.number else self._tasks
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            # Nobody is left to read the answers. What must go on, such as a call that
            # was sent to its target, runs in a task of its own.
            for task in list(handling):
                task.cancel()
            await asyncio.gather(*handling, return_exceptions=True)

    async def _async_answer(
        self, stream: FrameStream, envelope: Envelope, message: Any, is_busy: bool
    ) -> None:
        answer = await self._async_handle(stream.peer, message, is_busy)
        if envelope.number == 0:
            return
        clock = asyncio.get_running_loop().time()
        reply = Envelope(envelope.number, True, clock, encode_message(answer))
        with suppress(OSError, FrameError):
            await stream.async_send(encode_message(reply))

    async def _async_handle(
        self, peer: HostIdentity, message: Any, is_busy: bool
    ) -> Any:
        if isinstance(message, ClockProbe):
            return NoAnswer("")
        # Waiting for a free handler would hold up all that comes behind on the link.
        # Symptom: slow calls of one account keep configuration and load from a host.
        if is_busy:
            return NoAnswer("busy")
        try:
            answer = await self._handler(peer, message)
        except Exception as err:
            log_event(
                "peer_message_failed", message=type(message).__name__, error=repr(err)
            )
            return NoAnswer(repr(err)[:200])
        return NoAnswer("") if answer is None else answer


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Let the kernel end a connection whose far end has vanished.

    A host that loses its power sends no end of stream. Symptom: its links stay open
    until all that may be accepted are taken and live hosts are turned away. Probes of
    the kernel end them within KEEPALIVE_IDLE_SECONDS and a few intervals.
    """
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, c.KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, c.KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, c.KEEPALIVE_PROBES),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
