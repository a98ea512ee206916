"""Define the hello message, by which hosts find each other through seeds."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address
from typing import Any

from tarragonward_core import Address, FrameError, HostIdentity

from . import const as c

__all__ = ["Hello", "PeerEntry"]

MILLISECONDS_PER_SECOND = 1_000
INTEGER_LIMIT = 1 << 63


@dataclass(frozen=True)
class PeerEntry:
    """A host that the sender knows, and how long ago any host heard from it directly.

    failure_domain is empty if the sender does not know it.
    """

    identity: HostIdentity
    age_seconds: float
    failure_domain: str = ""

    def pack(self) -> tuple[Any, ...]:
        """Return the entry in its wire format."""
        address = self.identity.address
        age = int(self.age_seconds * MILLISECONDS_PER_SECOND)
        incarnation = self.identity.incarnation
        host = _pack_host(address.host)
        return host, address.port, incarnation, age, self.failure_domain

    @classmethod
    def unpack(cls, item: Any) -> PeerEntry:
        """Decode an entry from its wire format; raise FrameError if it is malformed."""
        try:
            host, port, incarnation, age, domain = item
            _check_integers(port, incarnation, age)
            if domain != "":
                _check_names(domain)
            if not 0 < port < c.PORT_LIMIT:
                raise ValueError("port out of range")
            identity = HostIdentity(Address(_unpack_host(host), port), incarnation)
            return cls(identity, age / MILLISECONDS_PER_SECOND, domain)
        except (ValueError, TypeError) as err:
            raise FrameError(f"malformed peer entry: {err}") from None


@dataclass(frozen=True)
class Hello:
    """What a host announces about itself, and some of the peers that it knows.

    timestamp is the sender's monotonic clock in microseconds. It orders the hellos of
    one incarnation and shows how much longer than usual one was delayed. host_count is
    the highest number of hosts that the sender has counted recently.
    """

    identity: HostIdentity
    name: str
    failure_domain: str
    timestamp: int
    host_count: int = 1
    is_leaving: bool = False
    entries: tuple[PeerEntry, ...] = ()

    def pack(self) -> tuple[Any, ...]:
        """Return the wire format; the receiver takes the address from the datagram."""
        return (
            self.identity.incarnation,
            self.name,
            self.failure_domain,
            self.timestamp,
            self.host_count,
            self.is_leaving,
            [entry.pack() for entry in self.entries],
        )

    @classmethod
    def unpack(cls, sender: Address, item: Any) -> Hello:
        """Decode a hello from its wire format; raise FrameError if it is malformed."""
        try:
            incarnation, name, domain, timestamp, host_count, is_leaving, entries = item
            _check_integers(incarnation, timestamp, host_count)
            _check_names(name, domain)
            if (
                type(is_leaving) is not bool
                or not 0 < host_count <= c.MAX_SEED_PEERS + 1
            ):
                raise ValueError(
                    "is_leaving is not a boolean or host_count is out of range"
                )
            if not isinstance(entries, list) or len(entries) > c.MAX_HELLO_ENTRIES:
                raise ValueError("entries is not a list or is too long")
        except (ValueError, TypeError) as err:
            raise FrameError(f"malformed hello: {err}") from None
        return cls(
            HostIdentity(sender, incarnation),
            name,
            domain,
            timestamp,
            host_count,
            is_leaving,
            tuple(PeerEntry.unpack(entry) for entry in entries),
        )


def _check_integers(*numbers: Any) -> None:
    if not all(type(n) is int and 0 <= n < INTEGER_LIMIT for n in numbers):
        raise ValueError("a number is not an integer or is out of range")


def _check_names(*names: Any) -> None:
    if not all(type(t) is str and 0 < len(t) <= c.MAX_NAME_LENGTH for t in names):
        raise ValueError("a name is not a string, is empty or is too long")


@lru_cache(maxsize=1_024)
def _pack_host(host: str) -> bytes:
    return ip_address(host).packed


@lru_cache(maxsize=1_024)
def _unpack_host(packed: bytes) -> str:
    if not isinstance(packed, bytes):
        raise TypeError("host must be bytes")
    return str(ip_address(packed))
