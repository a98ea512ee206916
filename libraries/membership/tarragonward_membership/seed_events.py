"""Define what a host knows of its peers, and the events and effects of membership."""

from __future__ import annotations

from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity

from .hellos import Hello

__all__ = [
    "HelloReceived",
    "KnownPeer",
    "PeerFound",
    "PeerLost",
    "RoundDue",
    "SeedEffect",
    "SeedEvent",
    "SendHello",
]


@dataclass
class KnownPeer:
    """Another host; last_seen_at is when any host last heard from it, as known here.

    name is empty until a hello of the peer itself arrives, failure_domain until any
    host reports it. min_delay is the lowest difference seen between the receiver's
    clock and a hello's timestamp; it includes the offset between the two clocks, and
    may be too high by up to delay_uncertainty_seconds. times_sent counts the hellos
    that reported the peer since there was last newer information about it.
    """

    identity: HostIdentity
    last_seen_at: float
    name: str = ""
    failure_domain: str = ""
    is_leaving: bool = False
    last_timestamp: int = -1
    min_delay: float = float("inf")
    delay_uncertainty_seconds: float = 0.0
    times_sent: int = 0


@dataclass(frozen=True)
class RoundDue:
    """A gossip round is due; the sizes are those of the last hellos sent."""

    hello_bytes: int = 0
    brief_hello_bytes: int = 0


@dataclass(frozen=True)
class HelloReceived:
    """A hello was received from its sender."""

    hello: Hello


@dataclass(frozen=True)
class SendHello:
    """Send a hello to these addresses; a brief one has no entries of other hosts."""

    addresses: tuple[Address, ...]
    is_brief: bool = False


@dataclass(frozen=True)
class PeerFound:
    """A host, or a new incarnation of one, was found."""

    identity: HostIdentity


@dataclass(frozen=True)
class PeerLost:
    """A peer timed out, or another incarnation replaced it at its address."""

    identity: HostIdentity
    name: str


SeedEvent = RoundDue | HelloReceived
SeedEffect = SendHello | PeerFound | PeerLost
