"""Hold the names and times that every library shares."""

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
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address of `host:port`; raise ValueError if it is not one."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdecimal():
            raise ValueError(f"not host:port: {text!r}")
        if not 0 <= int(port) < 65536:
            raise ValueError(f"no such port: {port}")
        return cls(host, int(port))


@dataclass(frozen=True, order=True)
class HostIdentity:
    """One life of one entry host: its peer address and its incarnation.

    A host that comes back under its old address has another incarnation, so what
    its earlier life knew is never taken for its own.
    """

    address: Address
    incarnation: int

    def __str__(self) -> str:
        return f"{self.address}#{self.incarnation:012x}"

    @classmethod
    def parse(cls, text: str) -> HostIdentity:
        """Return the identity that str() gave; raise ValueError if it is not one."""
        address, separator, incarnation = text.partition("#")
        if not separator:
            raise ValueError(f"not host:port#incarnation: {text!r}")
        return cls(Address.parse(address), int(incarnation, 16))


def new_incarnation() -> int:
    """Return a random incarnation, as a diskless host remembers no counter."""
    return secrets.randbits(INCARNATION_BITS)


def new_request_id() -> str:
    """Return an id that no other request has."""
    return secrets.token_hex(REQUEST_ID_BYTES)


def estimate_tokens(text_bytes: int) -> int:
    """Return how many tokens a prompt of text_bytes UTF-8 bytes has, rounded up.

    Source: the assumption of four bytes a token, stated in docs/DECISIONS.md.
    """
    return -(-text_bytes // BYTES_PER_TOKEN)
