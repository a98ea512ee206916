"""Frame data between hosts with a length, a sequence number and a MAC."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgpack

from tarragonward_core import (
    FrameError,
    HostIdentity,
    Metrics,
    ResultCode,
    log_event,
)

from .const import (
    FRAME_LENGTH_BYTES,
    FRAME_MAC_BYTES,
    HANDSHAKE_TIMEOUT_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
    REPLAY_WINDOW_FRAMES,
)

__all__ = [
    "BadFrame",
    "FrameStream",
    "RefusedFrameError",
    "async_handshake",
    "count_bad_frame",
]


class BadFrame(Enum):
    """Why a frame was refused; the value is a label of the metric bad_frames."""

    FORGED = "forged"
    MALFORMED = "malformed"
    NO_HANDSHAKE = "no_handshake"
    OVERSIZED = "oversized"
    REPLAYED = "replayed"
    TRUNCATED = "truncated"
    WRONG_KEY = "wrong_key"
    WRONG_VERSION = "wrong_version"


class RefusedFrameError(FrameError):
    """A frame was refused for a reason that is counted."""

    def __init__(self, reason: BadFrame, detail: str) -> None:
        super().__init__(f"{reason.value}: {detail}")
        self.reason = reason


class WrongVersionError(RefusedFrameError):
    """The peer uses another version of the protocol."""

    code = ResultCode.WRONG_VERSION


def count_bad_frame(error: Exception, peer: object, metrics: Metrics) -> None:
    """Count and log a refused frame; ignore errors other than FrameError."""
    if not isinstance(error, FrameError):
        return
    reason = getattr(error, "reason", BadFrame.MALFORMED)
    metrics.count("bad_frames", reason.value)
    log_event(
        "frame_refused",
        peer=peer,
        code=error.code.number,
        reason=reason.value,
        error=error,
    )


class FrameStream:
    """Send and receive frames on a connection after its handshake.

    A frame is: length, MAC, payload. The MAC covers the direction, the sequence number
    within the direction and the payload; its key is derived from the nonces of both
    peers. Forged, modified, replayed or reordered frames are therefore refused.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        key: bytes,
        is_client: bool,
        peer: HostIdentity,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._key = key
        self._send_label, self._receive_label = (
            (b"client", b"server") if is_client else (b"server", b"client")
        )
        self._sent = 0
        self._received = 0
        self.peer = peer
        # Lower bound: the peer's monotonic clock is at least this host's plus this.
        self.clock_offset = 0.0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.on_progress: Callable[[], None] = lambda: None

    async def async_send(self, payload: bytes) -> None:
        """Send a frame; raise FrameError if it is too large."""
        if len(payload) > MAX_FRAME_BYTES:
            raise RefusedFrameError(BadFrame.OVERSIZED, f"{len(payload)} bytes")
        mac = self._compute_mac(self._send_label, self._sent, payload)
        self._sent += 1
        length = len(payload).to_bytes(FRAME_LENGTH_BYTES, "big")
        self._writer.write(length + mac + payload)
        self.bytes_sent += len(length) + len(mac) + len(payload)
        await self._writer.drain()

    async def async_receive(self) -> bytes:
        """Return the next payload.

        Raise FrameError for a bad frame, and ConnectionError or IncompleteReadError
        when the connection ends.
        """
        head = await self._async_read(FRAME_LENGTH_BYTES + FRAME_MAC_BYTES, False)
        length = int.from_bytes(head[:FRAME_LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise RefusedFrameError(BadFrame.OVERSIZED, f"{length} bytes")
        payload = await self._async_read(length, True)
        mac = head[FRAME_LENGTH_BYTES:]
        if not self._is_valid_mac(mac, self._received, payload):
            raise RefusedFrameError(
                self._classify_bad_mac(mac, payload), "MAC mismatch"
            )
        self._received += 1
        self.bytes_received += len(head) + length
        return payload

    @property
    def transport(self) -> asyncio.Transport:
        """Return the connection that carries the frames."""
        transport = self._writer.transport
        assert isinstance(transport, asyncio.Transport)
        return transport

    @property
    def is_closing(self) -> bool:
        """Return whether the connection was closed by this host or has ended."""
        return self._writer.is_closing()

    def close(self) -> None:
        """Abort the connection, discarding unsent data."""
        self._writer.transport.abort()

    async def _async_read(self, size: int, is_within_frame: bool) -> bytes:
        data = bytearray()
        while len(data) < size:
            piece = await self._reader.read(size - len(data))
            if not piece and (data or is_within_frame):
                detail = f"{len(data)} of {size} bytes"
                raise RefusedFrameError(BadFrame.TRUNCATED, detail)
            if not piece:
                raise asyncio.IncompleteReadError(b"", size)
            data += piece
            self.on_progress()
        return bytes(data)

    def _is_valid_mac(self, mac: bytes, sequence: int, payload: bytes) -> bool:
        expected = self._compute_mac(self._receive_label, sequence, payload)
        return hmac.compare_digest(expected, mac)

    def _classify_bad_mac(self, mac: bytes, payload: bytes) -> BadFrame:
        if self._received == 0:
            return BadFrame.WRONG_KEY
        earlier = range(max(0, self._received - REPLAY_WINDOW_FRAMES), self._received)
        if any(self._is_valid_mac(mac, sequence, payload) for sequence in earlier):
            return BadFrame.REPLAYED
        return BadFrame.FORGED

    def _compute_mac(self, label: bytes, sequence: int, payload: bytes) -> bytes:
        digest = hmac.new(self._key, label + sequence.to_bytes(8, "big"), "sha256")
        digest.update(payload)
        return digest.digest()[:FRAME_MAC_BYTES]


@dataclass(frozen=True)
class _Hello:
    version: int
    identity: HostIdentity
    nonce: bytes

    def pack(self) -> bytes:
        body = msgpack.packb([self.version, str(self.identity), self.nonce])
        return len(body).to_bytes(FRAME_LENGTH_BYTES, "big") + body

    @classmethod
    def unpack(cls, body: bytes) -> _Hello:
        try:
            version, identity, nonce = msgpack.unpackb(body)
            hello = cls(version, HostIdentity.parse(identity), nonce)
        except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as err:
            raise RefusedFrameError(BadFrame.MALFORMED, "invalid hello") from err
        if version != PROTOCOL_VERSION:
            detail = f"found {version!r}, expected {PROTOCOL_VERSION}"
            raise WrongVersionError(BadFrame.WRONG_VERSION, detail)
        if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
            raise RefusedFrameError(BadFrame.MALFORMED, "invalid nonce in hello")
        return hello


async def async_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: HostIdentity,
    key: bytes,
    is_client: bool,
) -> FrameStream:
    """Exchange identities, prove the shared key, and return the stream.

    Raise FrameError if the peer uses another protocol version or another key.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            return await _async_handshake(reader, writer, identity, key, is_client)
    except TimeoutError as err:
        raise RefusedFrameError(BadFrame.NO_HANDSHAKE, "handshake timed out") from err


async def _async_handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: HostIdentity,
    key: bytes,
    is_client: bool,
) -> FrameStream:
    own_hello = _Hello(
        PROTOCOL_VERSION, identity, secrets.token_bytes(NONCE_BYTES)
    ).pack()
    writer.write(own_hello)
    length = int.from_bytes(await reader.readexactly(FRAME_LENGTH_BYTES), "big")
    if length > MAX_HELLO_BYTES:
        raise RefusedFrameError(BadFrame.OVERSIZED, f"hello of {length} bytes")
    body = await reader.readexactly(length)
    hello = _Hello.unpack(body)
    peer_hello = length.to_bytes(FRAME_LENGTH_BYTES, "big") + body
    transcript = own_hello + peer_hello if is_client else peer_hello + own_hello
    session_key = hmac.new(key, transcript, hashlib.sha256).digest()
    stream = FrameStream(reader, writer, session_key, is_client, hello.identity)
    # One frame in each direction proves the key before any message is handled. It has
    # the sender's monotonic clock, so that deadlines can be sent as values of the
    # receiver's clock: a message delayed by the network still ends in time.
    await stream.async_send(msgpack.packb(_now()))
    proof = await stream.async_receive()
    stream.clock_offset = _parse_clock(proof) - _now()
    return stream


def _now() -> float:
    return asyncio.get_running_loop().time()


def _parse_clock(proof: bytes) -> float:
    try:
        clock = msgpack.unpackb(proof)
    except (ValueError, msgpack.UnpackException):
        clock = None
    if not isinstance(clock, float):
        raise RefusedFrameError(BadFrame.MALFORMED, "first frame is not a clock value")
    return clock
