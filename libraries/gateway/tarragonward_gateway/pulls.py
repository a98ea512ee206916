"""Limit the number of concurrent record pulls from peers."""

from __future__ import annotations

from dataclasses import dataclass

from . import const as c

__all__ = ["PullLimit"]


@dataclass
class _Pull:
    peer: str
    progressed_at: float


class PullLimit:
    """Limits the pulls in flight, which share the host's link; times in seconds.

    If each gossip round started another pull of a large table on a thin link, four or
    more would share the link, each slower than the one before, and a host would keep an
    outdated table for many seconds. Two pulls are enough, as the second covers a first
    peer that is dead or unreachable. While a peer's answer arrives, a second pull from
    the same peer would only halve its rate.
    """

    def __init__(self) -> None:
        self._in_flight: dict[float, _Pull] = {}

    def begin(self, now: float, peer: str = "") -> bool:
        """Return whether a pull from a peer may start now, and count it if so."""
        if len(self._in_flight) >= c.MAX_PULLS or now in self._in_flight:
            return False
        if peer and any(self._is_arriving(pull, peer, now) for pull in self._get()):
            return False
        self._in_flight[now] = _Pull(peer, now)
        return True

    def record_progress(self, began_at: float, now: float) -> None:
        """Record that a part of an answer has arrived."""
        pull = self._in_flight.get(began_at)
        if pull is not None:
            pull.progressed_at = now

    def end(self, began_at: float) -> None:
        """Remove the pull that began at the given time."""
        self._in_flight.pop(began_at, None)

    def _get(self) -> list[_Pull]:
        return list(self._in_flight.values())

    def _is_arriving(self, pull: _Pull, peer: str, now: float) -> bool:
        is_recent = now - pull.progressed_at <= c.PULL_STALL_SECONDS
        return pull.peer == peer and is_recent
