"""Hold the news that a host still has to pass on, each a bounded number of times."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

import msgpack

from tarragonward_core import Address

from .messages import MemberRecord

__all__ = ["Rumours", "measure_record"]


@dataclass
class _Rumour:
    record: MemberRecord
    left: int
    is_heartbeat: bool
    sent: int = 0


class Rumours:
    """One rumour an address at most, so the queue is bounded by the membership."""

    def __init__(self) -> None:
        self._rumours: dict[Address, _Rumour] = {}

    def __len__(self) -> int:
        return len(self._rumours)

    def add(
        self, record: MemberRecord, transmissions: int, is_heartbeat: bool = False
    ) -> None:
        """Pass the record on this many times, in place of an older one."""
        rumour = _Rumour(record, transmissions, is_heartbeat)
        self._rumours[record.identity.address] = rumour

    def discard(self, address: Address) -> None:
        """Stop to pass on what is known of an address."""
        self._rumours.pop(address, None)

    def take(self, max_bytes: int, max_heartbeat_bytes: int) -> list[MemberRecord]:
        """Return the records for one message, the least sent first.

        Heartbeats come after changes, and only up to max_heartbeat_bytes in all.
        """
        chosen: list[MemberRecord] = []
        size = 0
        for rumour in sorted(self._rumours.values(), key=_get_urgency):
            size += measure_record(rumour.record)
            if size > (max_heartbeat_bytes if rumour.is_heartbeat else max_bytes):
                break
            chosen.append(rumour.record)
            rumour.sent += 1
            rumour.left -= 1
            if rumour.left <= 0:
                del self._rumours[rumour.record.identity.address]
        return chosen


def _get_urgency(rumour: _Rumour) -> tuple[bool, int]:
    return rumour.is_heartbeat, rumour.sent


@lru_cache(maxsize=2_048)
def measure_record(record: MemberRecord) -> int:
    """Return the bytes that a record takes in a message."""
    return len(msgpack.packb(record.pack()))
