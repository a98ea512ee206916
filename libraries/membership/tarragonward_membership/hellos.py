"""Define what hosts that find each other by seeds tell of themselves and others."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address
from typing import Any

from tarragonward_core import Address, FrameError, HostIdentity

from . import const as c

__all__ = ["Hello", "PeerEntry"]

MILLISECONDS = 1_000
MAX_NUMBER = 1 << 63


@dataclass(frozen=True)
class PeerEntry:
    """A host that the sender knows, and how long ago anyone heard of it itself.

    failure_domain is empty where the sender does not know it.
    """

    identity: HostIdentity
    age_seconds: float
    failure_domain: str = ""

    def pack(self) -> tuple[Any, ...]:
        """Return the entry as it travels."""
        address = self.identity.address
        age = int(self.age_seconds * MILLISECONDS)
        incarnation = self.identity.incarnation
        host = _pack_host(address.host)
        return host, address.port, incarnation, age, self.failure_domain

    @classmethod
    def unpack(cls, item: Any) -> PeerEntry:
        """Return the entry that pack() gave; raise FrameError if it is not one."""
        try:
            host, port, incarnation, age, domain = item
            _check_numbers(port, incarnation, age)
            if domain != "":
                _check_texts(domain)
            if not 0 < port < c.MAX_PORTS:
                raise ValueError("no such port")
            identity = HostIdentity(Address(_unpack_host(host), port), incarnation)
            return cls(identity, age / MILLISECONDS, domain)
        except (ValueError, TypeError) as err:
            raise FrameError(f"not a peer's entry: {err}") from None


@dataclass(frozen=True)
class Hello:
    """What a host says of itself, and some of the others that it knows.

    stamp is the sender's own clock in microseconds, which only grows in one life: it
    orders the hellos of a life, and shows by how much more than usual one was
    delayed. hosts is the most hosts that the sender counted lately.
    """

    identity: HostIdentity
    name: str
    failure_domain: str
    stamp: int
    hosts: int = 1
    is_leaving: bool = False
    entries: tuple[PeerEntry, ...] = ()

    def pack(self) -> tuple[Any, ...]:
        """Return the hello as it travels; the receiver sees the address itself."""
        return (
            self.identity.incarnation,
            self.name,
            self.failure_domain,
            self.stamp,
            self.hosts,
            self.is_leaving,
            [entry.pack() for entry in self.entries],
        )

    @classmethod
    def unpack(cls, sender: Address, item: Any) -> Hello:
        """Return the hello that pack() gave; raise FrameError if it is not one."""
        try:
            incarnation, name, domain, stamp, hosts, is_leaving, entries = item
            _check_numbers(incarnation, stamp, hosts)
            _check_texts(name, domain)
            if type(is_leaving) is not bool or not 0 < hosts <= c.MAX_SEED_PEERS + 1:
                raise ValueError("a field is out of bounds")
            if not isinstance(entries, list) or len(entries) > c.MAX_HELLO_ENTRIES:
                raise ValueError("too many entries")
        except (ValueError, TypeError) as err:
            raise FrameError(f"not a hello: {err}") from None
        return cls(
            HostIdentity(sender, incarnation),
            name,
            domain,
            stamp,
            hosts,
            is_leaving,
            tuple(PeerEntry.unpack(entry) for entry in entries),
        )


def _check_numbers(*numbers: Any) -> None:
    if not all(type(n) is int and 0 <= n < MAX_NUMBER for n in numbers):
        raise ValueError("a number is not one")


def _check_texts(*texts: Any) -> None:
    if not all(type(t) is str and 0 < len(t) <= c.MAX_NAME_LENGTH for t in texts):
        raise ValueError("a name is not one")


@lru_cache(maxsize=1_024)
def _pack_host(host: str) -> bytes:
    return ip_address(host).packed


@lru_cache(maxsize=1_024)
def _unpack_host(packed: bytes) -> str:
    if not isinstance(packed, bytes):
        raise TypeError("the host is not bytes")
    return str(ip_address(packed))
