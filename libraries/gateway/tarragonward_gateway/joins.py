"""Find the peers that have just joined, and who tells them what they missed."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from tarragonward_core import Address, HostIdentity
from tarragonward_membership import KnownPeer

from . import const as c

__all__ = ["PeerJoins"]

RANK_BYTES = 8


class PeerJoins:
    """The peers of one host by when they joined; times in seconds of one clock.

    A host joins when it starts, and again when it is heard after it was given up, as
    after a network partition. Several hosts notice that, and a few of them, chosen by
    its address, send it what hosts tell each other only once.
    """

    def __init__(self, own: HostIdentity) -> None:
        self._own = own
        self._joined_at: dict[HostIdentity, float] = {}

    def update(self, peers: Iterable[KnownPeer], now: float) -> list[Address]:
        """Return the peers that have joined since the last call and are told here."""
        known = self._joined_at
        present = [peer.identity for peer in peers]
        joined = [each for each in present if each not in known]
        self._joined_at = {each: known.get(each, now) for each in present}
        return [each.address for each in joined if self._is_sponsor(each, now)]

    def _is_sponsor(self, joined: HostIdentity, now: float) -> bool:
        """Return whether this host is among the first of those who were here before."""
        settled_at = now - c.PEER_SETTLE_SECONDS
        settled = [p for p, at in self._joined_at.items() if at <= settled_at]
        own = _rank(joined, self._own)
        earlier = sum(_rank(joined, each) < own for each in settled)
        return earlier < c.SPONSORS_PER_JOINED_PEER


def _rank(joined: HostIdentity, host: HostIdentity) -> bytes:
    name = f"{joined.address} {host.address}".encode()
    return hashlib.blake2b(name, digest_size=RANK_BYTES).digest()
