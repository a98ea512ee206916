"""Simulate transfers that share the capacity of the hosts' links."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_gateway.ports import Record

from .world import TABLE_KEY, World

__all__ = ["TARGET_RECORD_BYTES", "RecordSizes", "Transfer", "Transfers"]

# The size of a target's record on the wire, estimated from the published examples.
TARGET_RECORD_BYTES = 400
MIN_REMAINING_BYTES = 0.5


@dataclass(frozen=True)
class RecordSizes:
    """Bytes of a table as sent by the source, and as sent between hosts."""

    source_table_bytes: int = TARGET_RECORD_BYTES
    peer_table_bytes: int = TARGET_RECORD_BYTES

    def compute_source_bytes(self, records: tuple[Record, ...]) -> int:
        """Return the size of an answer of the source."""
        return sum(self._get_size(r, self.source_table_bytes) for r in records)

    def compute_peer_bytes(self, records: tuple[Record, ...]) -> int:
        """Return the size of an answer of a peer."""
        return sum(self._get_size(r, self.peer_table_bytes) for r in records)

    def _get_size(self, record: Record, table: int) -> int:
        return table if record.key == TABLE_KEY else TARGET_RECORD_BYTES


@dataclass(eq=False)
class Transfer:
    """A transfer in progress to a host; without a sender it is from the source."""

    sender: int | None
    receiver: int
    remaining_bytes: float
    on_end: Callable[[], None]


class Transfers:
    """All transfers of a run; each host's link has the same capacity in each direction.

    Transfers share a link evenly, as connections of equal age do. The link of the
    source is unlimited.
    """

    def __init__(self, world: World, bytes_per_second: float) -> None:
        self._world = world
        self._bytes_per_second = bytes_per_second
        self._active: set[Transfer] = set()
        self._advanced_at = world.now
        self._schedule_number = 0

    def start(
        self, sender: int | None, receiver: int, size: int, on_end: Callable[[], None]
    ) -> Transfer:
        """Send size bytes; on_end runs when all of them have arrived."""
        self._advance()
        transfer = Transfer(sender, receiver, float(size), on_end)
        self._active.add(transfer)
        self._schedule_next_end()
        return transfer

    def cancel(self, transfer: Transfer) -> bool:
        """Cancel a transfer; return whether it was still in progress."""
        if transfer not in self._active:
            return False
        self._advance()
        self._active.remove(transfer)
        self._schedule_next_end()
        return True

    def _advance(self) -> None:
        seconds = self._world.now - self._advanced_at
        self._advanced_at = self._world.now
        if seconds <= 0.0:
            return
        for transfer, rate in self._compute_rates().items():
            transfer.remaining_bytes -= rate * seconds

    def _compute_rates(self) -> dict[Transfer, float]:
        sent = Counter(transfer.sender for transfer in self._active)
        received = Counter(transfer.receiver for transfer in self._active)
        sent[None] = 1
        return {
            transfer: self._bytes_per_second
            / max(sent[transfer.sender], received[transfer.receiver])
            for transfer in self._active
        }

    def _schedule_next_end(self) -> None:
        """Schedule the end of the transfer that will complete first."""
        self._schedule_number += 1
        number = self._schedule_number
        rates = self._compute_rates()
        delay = min(
            (t.remaining_bytes / rate for t, rate in rates.items()), default=math.inf
        )
        if math.isfinite(delay):
            self._world.schedule_after(
                max(0.0, delay), lambda: self._end_completed(number)
            )

    def _end_completed(self, number: int) -> None:
        if number != self._schedule_number:
            return
        self._advance()
        completed = [
            transfer
            for transfer in self._active
            if transfer.remaining_bytes <= MIN_REMAINING_BYTES
        ]
        self._active.difference_update(completed)
        self._schedule_next_end()
        for transfer in sorted(completed, key=lambda t: t.receiver):
            transfer.on_end()
