"""Queue member records for gossip, each for a bounded number of transmissions."""

from __future__ import annotations

from dataclasses import dataclass
from functools import lru_cache

import msgpack

from tarragonward_core import Address

from .messages import MemberRecord

__all__ = ["UpdateQueue", "get_record_size"]


@dataclass
class _QueuedUpdate:
    record: MemberRecord
    transmissions_left: int
    is_heartbeat: bool
    times_sent: int = 0


class UpdateQueue:
    """Records to gossip; one per address, so the number of members bounds the queue."""

    def __init__(self) -> None:
        self._updates: dict[Address, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(
        self, record: MemberRecord, transmissions: int, is_heartbeat: bool = False
    ) -> None:
        """Queue a record for transmission in place of an older one of its address."""
        update = _QueuedUpdate(record, transmissions, is_heartbeat)
        self._updates[record.identity.address] = update

    def discard(self, address: Address) -> None:
        """Remove the record of an address."""
        self._updates.pop(address, None)

    def take(self, max_bytes: int, max_heartbeat_bytes: int) -> list[MemberRecord]:
        """Return the records for one message, the least often sent first.

        Heartbeats come after state changes, and only while the records' total size
        stays within max_heartbeat_bytes.
        """
        chosen: list[MemberRecord] = []
        size = 0
        for update in sorted(self._updates.values(), key=_get_priority):
            size += get_record_size(update.record)
            if size > (max_heartbeat_bytes if update.is_heartbeat else max_bytes):
                break
            chosen.append(update.record)
            update.times_sent += 1
            update.transmissions_left -= 1
            if update.transmissions_left <= 0:
                del self._updates[update.record.identity.address]
        return chosen


def _get_priority(update: _QueuedUpdate) -> tuple[bool, int]:
    return update.is_heartbeat, update.times_sent


@lru_cache(maxsize=2_048)
def get_record_size(record: MemberRecord) -> int:
    """Return the encoded size of a record in bytes."""
    return len(msgpack.packb(record.pack()))
