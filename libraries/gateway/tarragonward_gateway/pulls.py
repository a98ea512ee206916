"""Limit the number of concurrent record pulls from peers."""

from __future__ import annotations

from . import const as c

__all__ = ["PullLimit"]


class PullLimit:
    """Limits the pulls in flight, which share the host's link.

    If each gossip round started another pull of a large table on a thin link, four or
    more would share the link, each slower than the one before. With a time-out of 1 s
    a host on a link of 10 Mbit/s kept an outdated table of 1,570 routes for 15 s. Two
    pulls are enough, as the second covers a first peer that is dead or unreachable.
    """

    def __init__(self) -> None:
        self._in_flight: set[float] = set()

    def begin(self, now: float) -> bool:
        """Return whether a pull may start now, and count it if so."""
        if len(self._in_flight) >= c.MAX_PULLS or now in self._in_flight:
            return False
        self._in_flight.add(now)
        return True

    def end(self, began_at: float) -> None:
        """Remove the pull that began at the given time."""
        self._in_flight.discard(began_at)
