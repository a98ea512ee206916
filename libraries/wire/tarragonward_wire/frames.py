"""Frame bytes between hosts with a length, a sequence number and a MAC."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import secrets
from dataclasses import dataclass

import msgpack

from tarragonward_core import FrameError, HostIdentity

from .const import (
    FRAME_LENGTH_BYTES,
    FRAME_MAC_BYTES,
    HANDSHAKE_TIMEOUT_SECONDS,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    PROTOCOL_VERSION,
)

__all__ = ["FrameStream", "async_shake_hands"]


class FrameStream:
    """Send and receive frames on one connection that has shaken hands.

    A frame is: length, MAC, payload. The MAC covers the direction, the frame's place
    in its direction and the payload under a key that both nonces went into, so a
    frame that is forged, changed, replayed or out of order is refused.
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
        self.bytes_sent = 0
        self.bytes_received = 0

    async def async_send(self, payload: bytes) -> None:
        """Send one frame; raise FrameError where it is too large."""
        if len(payload) > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {len(payload)} bytes")
        mac = self._sign(self._send_label, self._sent, payload)
        self._sent += 1
        length = len(payload).to_bytes(FRAME_LENGTH_BYTES, "big")
        self._writer.write(length + mac + payload)
        self.bytes_sent += len(length) + len(mac) + len(payload)
        await self._writer.drain()

    async def async_receive(self) -> bytes:
        """Return the next payload.

        Raise FrameError for a bad frame, and ConnectionError or IncompleteReadError
        where the connection ends.
        """
        head = await self._reader.readexactly(FRAME_LENGTH_BYTES + FRAME_MAC_BYTES)
        length = int.from_bytes(head[:FRAME_LENGTH_BYTES], "big")
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"frame of {length} bytes")
        payload = await self._reader.readexactly(length)
        expected = self._sign(self._receive_label, self._received, payload)
        if not hmac.compare_digest(expected, head[FRAME_LENGTH_BYTES:]):
            raise FrameError("the MAC does not fit: forged, changed or replayed")
        self._received += 1
        self.bytes_received += len(head) + length
        return payload

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def _sign(self, label: bytes, sequence: int, payload: bytes) -> bytes:
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
            raise FrameError("not a hello") from err
        if version != PROTOCOL_VERSION:
            raise FrameError(f"protocol version {version!r}, not {PROTOCOL_VERSION}")
        if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
            raise FrameError("not a hello's nonce")
        return hello


async def async_shake_hands(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: HostIdentity,
    key: bytes,
    is_client: bool,
) -> FrameStream:
    """Tell each other who is there, prove the shared key, and return the stream.

    Raise FrameError where the peer speaks another version or has another key.
    """
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            return await _async_shake_hands(reader, writer, identity, key, is_client)
    except TimeoutError as err:
        raise FrameError("no handshake in time") from err


async def _async_shake_hands(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    identity: HostIdentity,
    key: bytes,
    is_client: bool,
) -> FrameStream:
    ours = _Hello(PROTOCOL_VERSION, identity, secrets.token_bytes(NONCE_BYTES)).pack()
    writer.write(ours)
    length = int.from_bytes(await reader.readexactly(FRAME_LENGTH_BYTES), "big")
    if length > MAX_HELLO_BYTES:
        raise FrameError(f"hello of {length} bytes")
    body = await reader.readexactly(length)
    hello = _Hello.unpack(body)
    theirs = length.to_bytes(FRAME_LENGTH_BYTES, "big") + body
    transcript = ours + theirs if is_client else theirs + ours
    session_key = hmac.new(key, transcript, hashlib.sha256).digest()
    stream = FrameStream(reader, writer, session_key, is_client, hello.identity)
    # An empty frame each way proves the key before any message is acted on.
    await stream.async_send(b"")
    if await stream.async_receive():
        raise FrameError("the first frame is not the proof of the key")
    return stream
