"""Keep outgoing links to other hosts and send requests over them."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
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
from .answer_limit import AnswerDeadline
from .codec import decode_message, encode_message
from .envelopes import ClockProbe, Envelope, NoAnswer
from .frames import FrameStream, async_handshake, count_bad_frame
from .pause_timeout import PauseTimeout

__all__ = ["PeerLinks"]

RECEIVE_ERRORS = (OSError, EOFError, FrameError)


class _Link:
    """An outgoing connection; a reader task dispatches the answers."""

    def __init__(self, stream: FrameStream, metrics: Metrics) -> None:
        self.stream = stream
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[Any]] = {}
        self._deadlines: set[AnswerDeadline] = set()
        self._clock_offset = stream.clock_offset
        self._clock_received_at = self._opened_at = self._received_at = _now()
        stream.on_progress = self._record_progress
        self._reader = asyncio.create_task(self._async_read())

    @property
    def is_open(self) -> bool:
        return not self._reader.done() and not self.stream.is_closing

    @property
    def age(self) -> float:
        """Return the age of the link in seconds."""
        return _now() - self._opened_at

    def close_if_inactive(self) -> None:
        """Close the link if nothing arrived recently; called when a request failed.

        A host that lost power does not close its connections. Its link would stay open,
        and all requests would time out until TCP gives up after minutes.
        """
        if _now() - self._received_at > c.LINK_INACTIVITY_SECONDS:
            self.stream.close()

    async def async_check_alive(self) -> bool:
        """Probe the peer if the link was idle; close the link if it does not answer."""
        if _now() - self._clock_received_at <= c.CLOCK_MAX_AGE_SECONDS:
            return True
        try:
            async with PauseTimeout(_now() + c.LINK_PROBE_TIMEOUT_SECONDS):
                await self.async_request(encode_message(ClockProbe()))
        except (TimeoutError, ConnectionLostError):
            self.stream.close()
            return False
        return True

    def compute_clock_offset(self) -> float:
        """Return the offset that gives a lower bound of the peer's clock."""
        return self._compute_offset_bound()

    def _record_progress(self) -> None:
        self._received_at = _now()
        for deadline in self._deadlines:
            deadline.record_progress()

    @contextmanager
    def extend_on_progress(self, deadline: AnswerDeadline) -> Iterator[None]:
        """Extend the deadline of an answer whenever data arrives on the link."""
        self._deadlines.add(deadline)
        try:
            yield
        finally:
            self._deadlines.discard(deadline)

    async def async_request(
        self, body: bytes, on_receipt: Callable[[], None] | None = None
    ) -> Any:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        confirming = None
        try:
            await self._async_send(number, body)
            if not self.is_open:
                raise ConnectionLostError("the link to the peer was closed")
            if on_receipt is not None:
                confirming = asyncio.create_task(self._async_confirm(on_receipt))
            return await future
        finally:
            self._pending.pop(number, None)
            if confirming is not None:
                confirming.cancel()

    async def _async_confirm(self, on_receipt: Callable[[], None]) -> None:
        """Notify whenever the peer proves that it has the messages sent so far.

        A peer reads a link in order and starts each handler before it reads on. An
        answer to a probe therefore shows that it handles the messages before the probe,
        and that those it has not answered were in progress when it answered this one.
        """
        with suppress(ConnectionLostError, OSError, FrameError):
            while True:
                await self.async_request(encode_message(ClockProbe()))
                on_receipt()
                await asyncio.sleep(c.RECEIPT_PROBE_INTERVAL_SECONDS)

    async def async_notify(self, body: bytes) -> None:
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
                    raise FrameError("message without an envelope")
                self._update_clock_offset(envelope.clock)
                future = self._pending.get(envelope.number)
                if future is not None and not future.done():
                    future.set_result(decode_message(envelope.body))
        except RECEIVE_ERRORS as err:
            count_bad_frame(err, self.stream.peer, self._metrics)
            log_event("peer_link_ended", peer=self.stream.peer, error=repr(err))
        finally:
            self.stream.close()
            for future in self._pending.values():
                if not future.done():
                    future.set_exception(
                        ConnectionLostError("the link to the peer was closed")
                    )

    def _update_clock_offset(self, clock: float) -> None:
        self._clock_offset = max(self._compute_offset_bound(), clock - _now())
        self._clock_received_at = _now()

    def _compute_offset_bound(self) -> float:
        return self._clock_offset - c.CLOCK_DRIFT_ALLOWANCE * (
            _now() - self._clock_received_at
        )


@dataclass
class _Backoff:
    """The exponential backoff of connection attempts to an address."""

    delay: float = 0.0
    retry_at: float = 0.0

    def record_failure(self) -> None:
        """Increase the delay before the next attempt, with jitter."""
        self.delay = min(
            max(self.delay * 2, c.RECONNECT_MIN_DELAY_SECONDS),
            c.RECONNECT_MAX_DELAY_SECONDS,
        )
        self.retry_at = _now() + self.delay * random.uniform(0.5, 1.0)


class PeerLinks:
    """Keep one link to each peer, created on first use."""

    def __init__(
        self, identity: HostIdentity, key: bytes, metrics: Metrics | None = None
    ) -> None:
        self._identity = identity
        self._key = key
        self._metrics = metrics or Metrics()
        self._links: dict[Address, _Link] = {}
        self._connecting: dict[Address, asyncio.Task[_Link]] = {}
        self._backoffs: dict[Address, _Backoff] = {}

    async def async_request(
        self,
        address: Address,
        message: Any,
        timeout: float,
        incarnation: int | None = None,
        inactivity_timeout: float | None = None,
    ) -> Any:
        """Send a message and return the peer's answer within timeout seconds.

        With an inactivity_timeout an answer may take longer while data arrives on the
        link; see AnswerDeadline.

        Raise NotConnectedError if the message can't have arrived: there is no
        connection, or the host at the address has another incarnation than the one
        given. Raise ConnectionLostError if it may have arrived.
        """
        return await self.async_request_with_clock(
            address, lambda _: message, timeout, incarnation, inactivity_timeout
        )

    async def async_request_with_clock(
        self,
        address: Address,
        build: Callable[[float], Any],
        timeout: float,
        incarnation: int | None = None,
        inactivity_timeout: float | None = None,
        on_receipt: Callable[[], None] | None = None,
    ) -> Any:
        """Like async_request, but build creates the message from the clock offset.

        The peer's monotonic clock is at least this host's plus the offset, in seconds,
        so a deadline converted to the peer's clock is never later than the original.

        on_receipt is called each time that the peer has confirmed that it handles the
        message, until the answer or the end of the timeout.
        """
        link = None
        deadline = AnswerDeadline(timeout, inactivity_timeout)
        try:
            async with deadline.timer:
                link = await self._async_get_link(address, incarnation)
                offset = link.compute_clock_offset()
                with link.extend_on_progress(deadline):
                    body = encode_message(build(offset))
                    answer = await link.async_request(body, on_receipt)
        except (OSError, TimeoutError, FrameError) as err:
            if link is not None:
                link.close_if_inactive()
            raise ConnectionLostError(f"{address}: {err!r}") from err
        if isinstance(answer, NoAnswer):
            raise ConnectionLostError(f"{address}: no answer: {answer.reason}")
        return answer

    async def async_notify(
        self, address: Address, message: Any, timeout: float
    ) -> None:
        """Send a one-way message; errors as for async_request."""
        try:
            async with asyncio.timeout(timeout):
                link = await self._async_get_link(address, None)
                await link.async_notify(encode_message(message))
        except (OSError, TimeoutError, FrameError) as err:
            raise ConnectionLostError(f"{address}: {err!r}") from err

    def get_peer(self, address: Address) -> HostIdentity | None:
        """Return the identity of the peer at an address, if there is an open link."""
        link = self._links.get(address)
        return link.stream.peer if link is not None and link.is_open else None

    async def async_drop(self, address: Address) -> None:
        """Close the link to a peer; the next message opens a new one."""
        link = self._links.pop(address, None)
        if link is not None:
            await link.async_unload()

    async def async_unload(self) -> None:
        """Close all links."""
        connecting, self._connecting = list(self._connecting.values()), {}
        for task in connecting:
            task.cancel()
        await asyncio.gather(*connecting, return_exceptions=True)
        links, self._links = list(self._links.values()), {}
        for link in links:
            await link.async_unload()

    async def _async_get_link(self, address: Address, incarnation: int | None) -> _Link:
        link = self._links.get(address)
        if link is not None and not await self._async_check_usable(link, incarnation):
            link = None
        if link is None:
            link = await asyncio.shield(self._start_connecting(address))
        if incarnation not in (None, link.stream.peer.incarnation):
            raise NotConnectedError(f"{address} has another incarnation than requested")
        return link

    async def _async_check_usable(self, link: _Link, incarnation: int | None) -> bool:
        """Return whether an existing link may be used; if not, a new one is opened."""
        if not link.is_open or not await link.async_check_alive():
            return False
        # The host may have been replaced without the old link being closed. Requests
        # for dead hosts must not open a connection each, so a recent link is trusted.
        is_other_incarnation = incarnation not in (None, link.stream.peer.incarnation)
        if is_other_incarnation and link.age > c.LINK_REPLACE_MIN_AGE_SECONDS:
            link.stream.close()
            return False
        return True

    def _start_connecting(self, address: Address) -> asyncio.Task[_Link]:
        """Return the connection attempt that all requests to the address share.

        Otherwise a thousand calls to a dead owner would open a thousand connections, a
        storm when it restarts, or wait for a thousand attempts in sequence, past their
        time limits. So there is one attempt at a time, with a short backoff before the
        next. Requests wait for the backoff instead of failing at once, which would
        report an unknown outcome for calls to a host that has just started.
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
            self._backoffs.setdefault(address, _Backoff()).record_failure()
            return
        self._backoffs.pop(address, None)
        self._links[address] = task.result()

    async def _async_connect(self, address: Address, wait: float) -> _Link:
        await asyncio.sleep(wait)
        try:
            async with PauseTimeout(_now() + c.DEFAULT_CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError) as err:
            raise NotConnectedError(f"{address}: {err!r}") from err
        with ExitStack() as stack:
            stack.callback(writer.transport.abort)
            try:
                stream = await async_handshake(
                    reader, writer, self._identity, self._key, is_client=True
                )
            except RECEIVE_ERRORS as err:
                count_bad_frame(err, address, self._metrics)
                raise NotConnectedError(f"{address}: {err!r}") from err
            stack.pop_all()
            return _Link(stream, self._metrics)


def _now() -> float:
    return asyncio.get_running_loop().time()
