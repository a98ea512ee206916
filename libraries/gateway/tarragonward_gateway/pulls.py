"""Decide how many peers are asked for records at once."""

from __future__ import annotations

from . import const as c

__all__ = ["PullLimit"]


class PullLimit:
    """The pulls in flight, which share the host's link: few.

    A large table takes its time on a thin link. Symptom, where each round of the peers
    brings one more pull: four or more share the link and each is slower than the one
    before (with pulls that are given up after a second the host worked by the table
    before it for 15 s, on a link of 10 Mbit/s and a table of 1,570 routes). A second
    one is enough where the peer that was asked first is dead or cut off.
    """

    def __init__(self) -> None:
        self._in_flight: set[float] = set()

    def begin(self, now: float) -> bool:
        """Return whether a peer may be asked now, and count it."""
        if len(self._in_flight) >= c.MAX_PULLS or now in self._in_flight:
            return False
        self._in_flight.add(now)
        return True

    def end(self, began_at: float) -> None:
        """Forget the pull that began then."""
        self._in_flight.discard(began_at)
