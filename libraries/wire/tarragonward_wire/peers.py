"""Carry typed messages between hosts, with answers, over authenticated streams."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from tarragonward_core import (
    Address,
    ConnectionLostError,
    FrameError,
    HostIdentity,
    Metrics,
    NotConnectedError,
    log_event,
)

from .codec import decode_message, encode_message, register_message
from .const import DEFAULT_CONNECT_TIMEOUT_SECONDS
from .frames import FrameStream, async_shake_hands

__all__ = ["PeerLinks", "PeerServer"]

PeerHandler = Callable[[HostIdentity, Any], Awaitable[Any]]
RECEIVE_ERRORS = (OSError, EOFError, FrameError)
MAX_HANDLERS_A_LINK = 256


@register_message
@dataclass(frozen=True)
class Envelope:
    """One message on its way; number ties an answer to its question.

    An answer carries its question's number and is_answer; number 0 wants no answer.
    """

    number: int
    is_answer: bool
    body: bytes


@register_message
@dataclass(frozen=True)
class NoAnswer:
    """Say that the handler had nothing to answer or failed."""

    reason: str


class PeerServer:
    """Listen for other hosts and hand their messages to a handler."""

    def __init__(
        self, identity: HostIdentity, key: bytes, handler: PeerHandler, metrics: Metrics
    ) -> None:
        self._identity = identity
        self._key = key
        self._handler = handler
        self._metrics = metrics
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Start to listen on the identity's own address."""
        address = self._identity.address
        self._server = await asyncio.start_server(
            self._async_accept, address.host, address.port
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
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            stream = await async_shake_hands(
                reader, writer, self._identity, self._key, is_client=False
            )
            await self._async_serve(stream)
        except FrameError as err:
            self._metrics.count("bad_frames", type(err).__name__)
            peer = writer.get_extra_info("peername")
            log_event("frame_refused", peer=peer, code=err.code.number, error=err)
        except (OSError, EOFError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _async_serve(self, stream: FrameStream) -> None:
        slots = asyncio.Semaphore(MAX_HANDLERS_A_LINK)
        async with asyncio.TaskGroup() as group:
            try:
                while True:
                    envelope = decode_message(await stream.async_receive())
                    if not isinstance(envelope, Envelope):
                        raise FrameError("a message without its envelope")
                    message = decode_message(envelope.body)
                    await slots.acquire()
                    task = group.create_task(
                        self._async_answer(stream, envelope, message)
                    )
                    task.add_done_callback(lambda _: slots.release())
            except (OSError, EOFError):
                stream.close()

    async def _async_answer(
        self, stream: FrameStream, envelope: Envelope, message: Any
    ) -> None:
        try:
            answer = await self._handler(stream.peer, message)
        except Exception as err:
            log_event(
                "peer_message_failed", message=type(message).__name__, error=repr(err)
            )
            answer = NoAnswer(repr(err)[:200])
        if envelope.number == 0:
            return
        body = encode_message(NoAnswer("") if answer is None else answer)
        with suppress(OSError):
            await stream.async_send(
                encode_message(Envelope(envelope.number, True, body))
            )


class _Link:
    """Own one outgoing connection; a reader task gives out the answers."""

    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._reader = asyncio.create_task(self._async_read())

    @property
    def is_open(self) -> bool:
        return not self._reader.done()

    async def async_ask(self, body: bytes) -> Any:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            await self.stream.async_send(encode_message(Envelope(number, False, body)))
            return await future
        finally:
            self._waiting.pop(number, None)

    async def async_tell(self, body: bytes) -> None:
        await self.stream.async_send(encode_message(Envelope(0, False, body)))

    async def async_unload(self) -> None:
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)

    async def _async_read(self) -> None:
        try:
            while True:
                envelope = decode_message(await self.stream.async_receive())
                future = self._waiting.get(envelope.number)
                if future is not None and not future.done():
                    future.set_result(decode_message(envelope.body))
        except RECEIVE_ERRORS as err:
            log_event("peer_link_ended", peer=self.stream.peer, error=repr(err))
        finally:
            self.stream.close()
            for future in self._waiting.values():
                if not future.done():
                    future.set_exception(ConnectionLostError("the peer's link ended"))


class PeerLinks:
    """Keep one link to each peer that is written to; made when first used."""

    def __init__(self, identity: HostIdentity, key: bytes) -> None:
        self._identity = identity
        self._key = key
        self._links: dict[Address, _Link] = {}
        self._locks: dict[Address, asyncio.Lock] = {}

    async def async_ask(
        self,
        address: Address,
        message: Any,
        timeout: float,
        incarnation: int | None = None,
    ) -> Any:
        """Send a message and return the peer's answer within timeout seconds.

        Raise NotConnectedError where the message cannot have arrived: no connection,
        or the host there has another incarnation than the one asked for. Raise
        ConnectionLostError where it may have arrived.
        """
        try:
            async with asyncio.timeout(timeout):
                link = await self._async_get_link(address, incarnation)
                answer = await link.async_ask(encode_message(message))
        except (OSError, TimeoutError) as err:
            raise ConnectionLostError(f"{address}: {err!r}") from err
        if isinstance(answer, NoAnswer):
            raise ConnectionLostError(f"{address}: no answer: {answer.reason}")
        return answer

    async def async_tell(self, address: Address, message: Any, timeout: float) -> None:
        """Send a message that wants no answer; errors as for async_ask."""
        try:
            async with asyncio.timeout(timeout):
                link = await self._async_get_link(address, None)
                await link.async_tell(encode_message(message))
        except (OSError, TimeoutError) as err:
            raise ConnectionLostError(f"{address}: {err!r}") from err

    def get_peer(self, address: Address) -> HostIdentity | None:
        """Return who answers at an address, where there is a link to it."""
        link = self._links.get(address)
        return link.stream.peer if link is not None and link.is_open else None

    async def async_drop(self, address: Address) -> None:
        """End the link to one peer; the next message makes a new one."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.async_unload()

    async def async_unload(self) -> None:
        """End all links."""
        links, self._links = list(self._links.values()), {}
        for link in links:
            await link.async_unload()

    async def _async_get_link(self, address: Address, incarnation: int | None) -> _Link:
        async with self._locks.setdefault(address, asyncio.Lock()):
            link = self._links.get(address)
            if link is None or not link.is_open:
                link = self._links[address] = _Link(await self._async_connect(address))
        if incarnation not in (None, link.stream.peer.incarnation):
            raise NotConnectedError(f"{address} has another incarnation")
        return link

    async def _async_connect(self, address: Address) -> FrameStream:
        try:
            async with asyncio.timeout(DEFAULT_CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError) as err:
            raise NotConnectedError(f"{address}: {err!r}") from err
        try:
            return await async_shake_hands(
                reader, writer, self._identity, self._key, is_client=True
            )
        except RECEIVE_ERRORS as err:
            writer.transport.abort()
            raise NotConnectedError(f"{address}: {err!r}") from err
