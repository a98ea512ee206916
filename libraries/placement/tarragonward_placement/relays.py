"""Choose the peers through which a host reaches targets that it can't connect to."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

from tarragonward_core import Address

from . import const as c

__all__ = ["RelayDirectory"]

ANY_SERVICE = ""


@dataclass
class _Backoff:
    """When a peer may be asked again, and how often in a row it was of no use."""

    retry_at: float = 0.0
    failures: int = 0

    def record_failure(self, now: float) -> None:
        self.failures += 1
        seconds = c.RELAY_BACKOFF_BASE_SECONDS * 2 ** (min(self.failures, 8) - 1)
        self.retry_at = now + min(seconds, c.RELAY_BACKOFF_MAX_SECONDS)


class RelayDirectory:
    """What this host has learned of its peers as relays; times in seconds.

    Hosts tell each other nothing of their links: a peer that has lost the same links
    answers so, and is asked again after a back-off. Peers that have relayed are
    preferred, as in a large partition most of the others can't. A peer that is alone in
    being able to is kept from being asked by all at once through its limit.

    If several peers in a row can't reach a service, its targets have probably ended. It
    is then left for a moment, so that an outage of all targets does not make every host
    ask all others for every request.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._backoffs: dict[tuple[Address, str], _Backoff] = {}
        self._services: dict[str, _Backoff] = {}
        # By service: peers that could not reach it since one last could.
        self._unable: dict[str, set[Address]] = {}
        # By service: when each peer last connected to a target for this host.
        self._proven: dict[str, dict[Address, float]] = {}

    def choose(
        self,
        service: str,
        peers: Collection[Address],
        asked: Collection[Address],
        now: float,
    ) -> Address | None:
        """Return the peer to ask next, None if none is worth asking now.

        asked: the peers that were asked for the same connection before.
        """
        if not self._may_ask(self._services.get(service), now):
            return None
        possible = [
            peer
            for peer in sorted(peers)
            if peer not in asked
            and self._may_ask(self._backoffs.get((peer, service)), now)
            and self._may_ask(self._backoffs.get((peer, ANY_SERVICE)), now)
        ]
        proven = [peer for peer in possible if self._is_proven(peer, service, now)]
        untried = [peer for peer in possible if peer not in proven]
        if proven and (len(proven) >= c.MIN_PROVEN_RELAYS or not untried):
            return self._random.choice(proven)
        return self._random.choice(untried) if untried else None

    def has_proven(self, service: str, now: float) -> bool:
        """Return whether a peer has connected to a target of a service recently."""
        proven = self._proven.get(service, {})
        return any(self._is_proven(peer, service, now) for peer in proven)

    def is_lost(self, peer: Address, now: float) -> bool:
        """Return whether a peer did not answer lately."""
        return not self._may_ask(self._backoffs.get((peer, ANY_SERVICE)), now)

    def record_connected(self, peer: Address, service: str, now: float) -> None:
        """Record that a peer has connected to a target for this host."""
        self._proven.setdefault(service, {})[peer] = now
        self._services.pop(service, None)
        self._unable.pop(service, None)
        self._backoffs.pop((peer, service), None)
        self._backoffs.pop((peer, ANY_SERVICE), None)

    def record_unable(self, peer: Address, service: str, now: float) -> None:
        """Record that a peer has lost its own links to a service."""
        self._record_failure(peer, service, now)
        unable = self._unable.setdefault(service, set())
        unable.add(peer)
        if len(unable) >= c.MAX_UNABLE_RELAYS:
            unable.clear()
            self._services.setdefault(service, _Backoff()).record_failure(now)

    def record_lost(self, peer: Address, now: float) -> None:
        """Record that a peer did not answer, or took no more connections."""
        self._record_failure(peer, ANY_SERVICE, now)

    def retain_only(self, peers: Collection[Address]) -> None:
        """Forget peers that have gone, so that memory stays bounded."""
        kept = set(peers)
        self._backoffs = {k: v for k, v in self._backoffs.items() if k[0] in kept}
        for proven in self._proven.values():
            for peer in proven.keys() - kept:
                del proven[peer]

    def _record_failure(self, peer: Address, service: str, now: float) -> None:
        for proven in self._proven.values():
            proven.pop(peer, None)
        self._backoffs.setdefault((peer, service), _Backoff()).record_failure(now)

    def _is_proven(self, peer: Address, service: str, now: float) -> bool:
        at = self._proven.get(service, {}).get(peer)
        return at is not None and now - at <= c.PROVEN_RELAY_SECONDS

    @staticmethod
    def _may_ask(backoff: _Backoff | None, now: float) -> bool:
        return backoff is None or now >= backoff.retry_at
