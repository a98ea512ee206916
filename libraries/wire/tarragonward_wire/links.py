"""Keep outgoing links to other hosts and ask questions over them."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
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

from . import const as c
from .answer_limit import AnswerLimit
from .codec import decode_message, encode_message
from .envelopes import ClockProbe, Envelope, NoAnswer
from .frames import FrameStream, async_shake_hands, count_bad_frame

__all__ = ["PeerLinks"]

RECEIVE_ERRORS = (OSError, EOFError, FrameError)


class _Link:
    """Own one outgoing connection; a reader task gives out the answers."""

    def __init__(self, stream: FrameStream, metrics: Metrics) -> None:
        self.stream = stream
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[Any]] = {}
        self._limits: set[AnswerLimit] = set()
        self._offset = stream.clock_offset
        self._heard_at = self._made_at = self._bytes_at = _now()
        stream.note_progress = self._note_progress
        self._reader = asyncio.create_task(self._async_read())

    @property
    def is_open(self) -> bool:
        return not self._reader.done() and not self.stream.is_closing

    @property
    def age(self) -> float:
        """Return for how many seconds the link has stood."""
        return _now() - self._made_at

    def close_if_silent(self) -> None:
        """Close a link on which a question went unanswered and nothing else came.

        A host whose machine is lost sends no end of the connection. Symptom: the link
        stays open, and all is asked into the void until TCP gives up after minutes.
        """
        if _now() - self._bytes_at > c.LINK_SILENCE_SECONDS:
            self.stream.close()

    async def async_is_alive(self) -> bool:
        """Tell whether the peer answers on a link that was idle; close it if not."""
        if _now() - self._heard_at <= c.CLOCK_MAX_AGE_SECONDS:
            return True
        try:
            async with asyncio.timeout(c.PROBE_SECONDS):
                await self.async_ask(encode_message(ClockProbe()))
        except (TimeoutError, ConnectionLostError):
            self.stream.close()
            return False
        return True

    def compute_clock_offset(self) -> float:
        """Return what to add to this host's clock for a lower bound of the peer's."""
        return self._decay_offset()

    def _note_progress(self) -> None:
        self._bytes_at = _now()
        for limit in self._limits:
            limit.note_progress()

    @contextmanager
    def put_off(self, limit: AnswerLimit) -> Iterator[None]:
        """Let what comes over the link put an answer's limit off."""
        self._limits.add(limit)
        try:
            yield
        finally:
            self._limits.discard(limit)

    async def async_ask(self, body: bytes) -> Any:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[number] = future
        try:
            await self._async_send(number, body)
            if not self.is_open:
                raise ConnectionLostError("the peer's link ended")
            return await future
        finally:
            self._waiting.pop(number, None)

    async def async_tell(self, body: bytes) -> None:
        await self._async_send(0, body)

    async def async_unload(self) -> None:
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)

    async def _async_send(self, number: int, body: bytes) -> None:
        envelope = Envelope(number, False, _now(), body)
        await self.stream.async_send(encode_message(envelope))

    async def _async_read(self) -> None:
        try:
            while True:
                envelope = decode_message(await self.stream.async_receive())
                if not isinstance(envelope, Envelope):
                    raise FrameError("a message without its envelope")
                self._take_clock(envelope.clock)
                future = self._waiting.get(envelope.number)
                if future is not None and not future.done():
                    future.set_result(decode_message(envelope.body))
        except RECEIVE_ERRORS as err:
            count_bad_frame(err, self.stream.peer, self._metrics)
            log_event("peer_link_ended", peer=self.stream.peer, error=repr(err))
        finally:
            self.stream.close()
            for future in self._waiting.values():
                if not future.done():
                    future.set_exception(ConnectionLostError("the peer's link ended"))

    def _take_clock(self, clock: float) -> None:
        self._offset = max(self._decay_offset(), clock - _now())
        self._heard_at = _now()

    def _decay_offset(self) -> float:
        return self._offset - c.CLOCK_DRIFT_ALLOWANCE * (_now() - self._heard_at)


@dataclass
class _Backoff:
    """When an address may be tried again after connections to it failed."""

    delay: float = 0.0
    retry_at: float = 0.0

    def fail(self) -> None:
        """Wait longer before the next try, with jitter."""
        self.delay = min(
            max(self.delay * 2, c.RECONNECT_FIRST_SECONDS), c.RECONNECT_MAX_SECONDS
        )
        self.retry_at = _now() + self.delay * random.uniform(0.5, 1.0)


class PeerLinks:
    """Keep one link to each peer that is written to; made when first used."""

    def __init__(
        self, identity: HostIdentity, key: bytes, metrics: Metrics | None = None
    ) -> None:
        self._identity = identity
        self._key = key
        self._metrics = metrics or Metrics()
        self._links: dict[Address, _Link] = {}
        self._connecting: dict[Address, asyncio.Task[_Link]] = {}
        self._backoffs: dict[Address, _Backoff] = {}

    async def async_ask(
        self,
        address: Address,
        message: Any,
        timeout: float,
        incarnation: int | None = None,
        silence_timeout: float | None = None,
    ) -> Any:
        """Send a message and return the peer's answer within timeout seconds.

        With a silence_timeout an answer may take longer while the link brings bytes,
        as AnswerLimit says.

        Raise NotConnectedError where the message cannot have arrived: no connection,
        or the host there has another incarnation than the one asked for. Raise
        ConnectionLostError where it may have arrived.
        """
        return await self.async_ask_with_clock(
            address, lambda _: message, timeout, incarnation, silence_timeout
        )

    async def async_ask_with_clock(
        self,
        address: Address,
        build: Callable[[float], Any],
        timeout: float,
        incarnation: int | None = None,
        silence_timeout: float | None = None,
    ) -> Any:
        """Ask as async_ask does; build makes the message from the clock offset.

        The peer's monotonic clock is at least this host's plus the offset, in
        seconds, so a time limit given as a point of it is never a later one.
        """
        link = None
        limit = AnswerLimit(timeout, silence_timeout)
        try:
            async with limit.timer:
                link = await self._async_get_link(address, incarnation)
                offset = link.compute_clock_offset()
                with link.put_off(limit):
                    answer = await link.async_ask(encode_message(build(offset)))
        except (OSError, TimeoutError, FrameError) as err:
            if link is not None:
                link.close_if_silent()
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
        except (OSError, TimeoutError, FrameError) as err:
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
        connecting, self._connecting = list(self._connecting.values()), {}
        for task in connecting:
            task.cancel()
        await asyncio.gather(*connecting, return_exceptions=True)
        links, self._links = list(self._links.values()), {}
        for link in links:
            await link.async_unload()

    async def _async_get_link(self, address: Address, incarnation: int | None) -> _Link:
        link = self._links.get(address)
        if link is not None and not await self._async_is_usable(link, incarnation):
            link = None
        if link is None:
            link = await asyncio.shield(self._start_connecting(address))
        if incarnation not in (None, link.stream.peer.incarnation):
            raise NotConnectedError(f"{address} has another incarnation")
        return link

    async def _async_is_usable(self, link: _Link, incarnation: int | None) -> bool:
        """Tell whether to use a link that stands; another one is made if not."""
        if not link.is_open or not await link.async_is_alive():
            return False
        # The host may have been replaced without an end of the old link. Keys of dead
        # hosts must not make a connection each, so a young link is believed.
        is_other = incarnation not in (None, link.stream.peer.incarnation)
        if is_other and link.age > c.LINK_RENEW_SECONDS:
            link.stream.close()
            return False
        return True

    def _start_connecting(self, address: Address) -> asyncio.Task[_Link]:
        """Return the one attempt to connect that all who ask wait for.

        A thousand calls to an owner that died would else open a thousand connections,
        or wait for a thousand attempts one after the other. Symptom: a storm when it
        comes back, answers past their time limit. One attempt at a time, and a short
        backoff before the next one that all who ask meanwhile wait for, is enough. To
        fail them at once would tell a call "unknown" of a host that just came up.
        """
        task = self._connecting.get(address)
        if task is not None:
            return task
        backoff = self._backoffs.get(address)
        wait = 0.0 if backoff is None else max(0.0, backoff.retry_at - _now())
        task = asyncio.create_task(self._async_connect(address, wait))
        self._connecting[address] = task
        task.add_done_callback(lambda done: self._end_connecting(address, done))
        return task

    def _end_connecting(self, address: Address, task: asyncio.Task[_Link]) -> None:
        self._connecting.pop(address, None)
        if task.cancelled():
            return
        if task.exception() is not None:
            self._backoffs.setdefault(address, _Backoff()).fail()
            return
        self._backoffs.pop(address, None)
        self._links[address] = task.result()

    async def _async_connect(self, address: Address, wait: float) -> _Link:
        await asyncio.sleep(wait)
        try:
            async with asyncio.timeout(c.DEFAULT_CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError) as err:
            raise NotConnectedError(f"{address}: {err!r}") from err
        with ExitStack() as stack:
            stack.callback(writer.transport.abort)
            try:
                stream = await async_shake_hands(
                    reader, writer, self._identity, self._key, is_client=True
                )
            except RECEIVE_ERRORS as err:
                count_bad_frame(err, address, self._metrics)
                raise NotConnectedError(f"{address}: {err!r}") from err
            stack.pop_all()
            return _Link(stream, self._metrics)


def _now() -> float:
    return asyncio.get_running_loop().time()
