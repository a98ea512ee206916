"""Define addresses, host identities and ids that all libraries share."""

from __future__ import annotations

import secrets
from dataclasses import dataclass

__all__ = [
    "Address",
    "HostIdentity",
    "estimate_tokens",
    "new_incarnation",
    "new_request_id",
]

BYTES_PER_TOKEN = 4
INCARNATION_BITS = 48
REQUEST_ID_BYTES = 12


@dataclass(frozen=True, order=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`; raise ValueError if it is not valid."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"invalid address {text!r}: expected host:port")
        if not 0 <= int(port) < 65536:
            raise ValueError(f"port out of range: {port}")
        return cls(host, int(port))


@dataclass(frozen=True, order=True)
class HostIdentity:
    """One incarnation of an entry host: its peer address and its incarnation number.

    A host that restarts under the same address gets another incarnation number, so
    state of its previous process is never attributed to it.
    """

    address: Address
    incarnation: int

    def __str__(self) -> str:
        return f"{self.address}#{self.incarnation:012x}"

    @classmethod
    def parse(cls, text: str) -> HostIdentity:
        """Parse the output of str(); raise ValueError if it is not valid."""
        address, separator, incarnation = text.partition("#")
        if not separator:
            raise ValueError(
                f"invalid identity {text!r}: expected host:port#incarnation"
            )
        return cls(Address.parse(address), int(incarnation, 16))


def new_incarnation() -> int:
    """Return a random incarnation: a host without a disk can't keep a counter."""
    return secrets.randbits(INCARNATION_BITS)


def new_request_id() -> str:
    """Return a unique request id."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def estimate_tokens(text_bytes: int) -> int:
    """Estimate the tokens of a prompt of text_bytes bytes of UTF-8, rounded up.

    Assumes BYTES_PER_TOKEN; see docs/DECISIONS.md.
    """
    return -(-text_bytes // BYTES_PER_TOKEN)
