"""Tell which lives of an address are over, from what answered there afterwards."""

from __future__ import annotations

from collections import OrderedDict

from tarragonward_core import Address

from . import const as c

__all__ = ["Sightings"]


class Sightings:
    """When each incarnation was first heard of, and which are over; bounded.

    Records of different lives have no order in time that this host could trust: a
    late rumour of the old life may come after the new one. An answer has: whoever
    answers a probe lives after the probe was sent, so any other incarnation of the
    address that was heard of before then is over.
    """

    def __init__(self) -> None:
        self._seen: OrderedDict[Address, OrderedDict[int, float]] = OrderedDict()
        self._over: dict[Address, set[int]] = {}

    def note(self, address: Address, incarnation: int, now: float) -> None:
        """Note that an incarnation was heard of."""
        seen = self._seen.setdefault(address, OrderedDict())
        self._seen.move_to_end(address)
        seen.setdefault(incarnation, now)
        if len(seen) > c.MAX_SIGHTINGS_AN_ADDRESS:
            oldest, _ = seen.popitem(last=False)
            self._over.get(address, set()).discard(oldest)
        if len(self._seen) > c.MAX_SIGHTED_ADDRESSES:
            forgotten, _ = self._seen.popitem(last=False)
            self._over.pop(forgotten, None)

    def note_answer(self, address: Address, incarnation: int, asked_at: float) -> None:
        """Note who answered a probe that was sent at asked_at."""
        over = self._over.setdefault(address, set())
        over.discard(incarnation)
        for other, first_heard_at in self._seen.get(address, {}).items():
            if other != incarnation and first_heard_at < asked_at:
                over.add(other)

    def is_over(self, address: Address, incarnation: int) -> bool:
        """Return whether another life has answered since this one was heard of."""
        return incarnation in self._over.get(address, set())
