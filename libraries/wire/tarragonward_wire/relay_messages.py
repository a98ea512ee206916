"""Encode what two hosts send each other on a relayed connection.

The client opens with a RelayRequest, the server answers with a RelayResult. After
RelayResult.CONNECTED the client's bytes go to the target unchanged. Bytes of the target
come in msgpack frames, ended by a RelayEnd: the end of a connection alone does not tell
whether the target, the link or the host between has ended it, and an answer without a
length would look complete.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from tarragonward_core import FrameError

__all__ = [
    "MAX_REQUEST_BYTES",
    "RelayEnd",
    "RelayRequest",
    "RelayResult",
    "pack_frame",
]

RELAY_FORMAT = 1
MAX_REQUEST_BYTES = 1_024
MILLISECONDS = 1_000


class RelayResult(IntEnum):
    """A host's answer to a request for a relayed connection.

    TARGET_UNREACHABLE: the target takes no connection from there either.
    SERVICE_UNREACHABLE: the host has lost its own links to the target's service.
    """

    CONNECTED = 0
    TARGET_UNREACHABLE = 1
    SERVICE_UNREACHABLE = 2
    BUSY = 3
    NOT_ACCEPTED = 4


@dataclass(frozen=True)
class RelayRequest:
    """A request to connect to a target, named by its id, within a time limit."""

    target: str
    timeout_seconds: float

    def pack(self) -> bytes:
        """Return the request in wire form."""
        milliseconds = int(self.timeout_seconds * MILLISECONDS)
        return msgpack.packb([RELAY_FORMAT, self.target, milliseconds])

    @classmethod
    def unpack(cls, message: Any) -> RelayRequest:
        """Return the request in a decoded message; raise FrameError if refused."""
        try:
            format_number, target, milliseconds = message
            if format_number != RELAY_FORMAT:
                raise ValueError("unknown format")
            if not isinstance(target, str) or not isinstance(milliseconds, int):
                raise TypeError("unexpected types")
        except (ValueError, TypeError) as err:
            raise FrameError(f"malformed relay request: {err}") from None
        return cls(target, max(0, milliseconds) / MILLISECONDS)


@dataclass(frozen=True)
class RelayEnd:
    """How the target's connection ended; errno is 0 if the target closed it."""

    errno: int = 0

    def pack(self) -> bytes:
        """Return the end in wire form."""
        return msgpack.packb(self.errno)


def pack_frame(data: bytes) -> bytes:
    """Return bytes of the target in wire form."""
    return msgpack.packb(data)
