"""Track the incarnations seen at each address, and which of them have ended."""

from __future__ import annotations

from collections import OrderedDict

from tarragonward_core import Address

from . import const as c

__all__ = ["IncarnationHistory"]


class IncarnationHistory:
    """When each incarnation was first heard of, and which have ended; bounded.

    The arrival order of records proves nothing: a delayed record of an old incarnation
    may arrive after one of its successor. An answer to a probe does: its sender was
    running after the probe was sent, so every other incarnation of the address that
    was heard of before then has ended.
    """

    def __init__(self) -> None:
        self._first_heard_at: OrderedDict[Address, OrderedDict[int, float]] = (
            OrderedDict()
        )
        self._ended: dict[Address, set[int]] = {}

    def record(self, address: Address, incarnation: int, now: float) -> None:
        """Record that an incarnation was heard of."""
        first_heard_at = self._first_heard_at.setdefault(address, OrderedDict())
        self._first_heard_at.move_to_end(address)
        first_heard_at.setdefault(incarnation, now)
        if len(first_heard_at) > c.MAX_INCARNATIONS_PER_ADDRESS:
            oldest, _ = first_heard_at.popitem(last=False)
            self._ended.get(address, set()).discard(oldest)
        if len(self._first_heard_at) > c.MAX_TRACKED_ADDRESSES:
            forgotten, _ = self._first_heard_at.popitem(last=False)
            self._ended.pop(forgotten, None)

    def record_answer(
        self, address: Address, incarnation: int, asked_at: float
    ) -> None:
        """Record which incarnation answered a probe sent at asked_at."""
        ended = self._ended.setdefault(address, set())
        ended.discard(incarnation)
        for other, heard_at in self._first_heard_at.get(address, {}).items():
            if other != incarnation and heard_at < asked_at:
                ended.add(other)

    def has_ended(self, address: Address, incarnation: int) -> bool:
        """Return whether another incarnation answered after this one was heard of."""
        return incarnation in self._ended.get(address, set())
