"""Accept links of other hosts and answer their messages."""

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
from .envelopes import ClockProbe, Envelope, NoAnswer, OpenRelay
from .frames import FrameStream, async_handshake, count_bad_frame
from .relay_messages import RelayRequest
from .relay_server import RelayServer

__all__ = ["PeerServer"]

PeerHandler = Callable[[HostIdentity, Any], Awaitable[Any]]


class PeerServer:
    """Listen for other hosts and pass their messages to a handler.

    listen is the address to listen on, by default that of the identity. relays takes
    over the links that become connections to targets.
    """

    def __init__(
        self,
        identity: HostIdentity,
        key: bytes,
        handler: PeerHandler,
        metrics: Metrics,
        listen: Address | None = None,
        relays: RelayServer | None = None,
    ) -> None:
        self._identity = identity
        self._key = key
        self._handler = handler
        self._metrics = metrics
        self._listen = listen or identity.address
        self._relays = relays
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._link_count = 0

    async def async_setup(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._async_accept, self._listen.host, self._listen.port
        )

    async def async_unload(self) -> None:
        """Stop listening and cancel all links."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _async_accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._link_count >= c.MAX_LINKS_ACCEPTED:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._link_count += 1
        enable_keepalive(writer)
        is_adopted = False
        try:
            stream = await async_handshake(
                reader, writer, self._identity, self._key, is_client=False
            )
            is_adopted = await self._async_serve(stream)
        except FrameError as err:
            count_bad_frame(err, writer.get_extra_info("peername"), self._metrics)
        except (OSError, EOFError, asyncio.CancelledError):
            # The task of this connection ends here; asyncio logs cancelled ones.
            pass
        finally:
            self._link_count -= 1
            self._tasks.discard(task)
            if not is_adopted:
                writer.transport.abort()

    async def _async_serve(self, stream: FrameStream) -> bool:
        """Answer messages until the link ends; return whether relays has taken it."""
        answering: set[asyncio.Task[None]] = set()
        try:
            while True:
                envelope = decode_message(await stream.async_receive())
                if not isinstance(envelope, Envelope):
                    raise FrameError("message without an envelope")
                message = decode_message(envelope.body)
                if isinstance(message, OpenRelay):
                    return self._hand_over(stream, message)
                is_busy = len(answering) >= c.MAX_HANDLERS_PER_LINK
                task = asyncio.create_task(
                    self._async_answer(stream, envelope, message, is_busy)
                )
                # One-way messages are handled to completion even if the link ends.
                tasks = answering if envelope.number else self._tasks
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            # The answers can no longer be delivered. Work that must continue, such as a
            # call already sent to its target, runs in a task of its own.
            for task in list(answering):
                task.cancel()
            await asyncio.gather(*answering, return_exceptions=True)

    def _hand_over(self, stream: FrameStream, message: OpenRelay) -> bool:
        if self._relays is None:
            return False
        request = RelayRequest(message.target, message.timeout_seconds)
        self._relays.adopt(stream, request)
        return True

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
        # Waiting for a free handler would block all later messages on the link: slow
        # calls of one account would delay configuration and load reports.
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
    """Enable TCP keepalive, which ends connections of hosts that disappeared.

    A host that loses power does not close its connections. Its links would stay open
    until MAX_LINKS_ACCEPTED is reached and live hosts are refused. The kernel's probes
    end them after KEEPALIVE_IDLE_SECONDS and a few intervals.
    """
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, c.KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, c.KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, c.KEEPALIVE_PROBES),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
