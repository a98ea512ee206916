"""Play bytes on their way over links that several transfers share."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_gateway.ports import Record

from .world import TABLE_KEY, World

__all__ = ["TARGET_BYTES", "RecordSizes", "Transfer", "Transfers"]

# What an entry of a target takes on its way, reckoned from the published examples.
TARGET_BYTES = 400
LEAST_BYTES = 0.5


@dataclass(frozen=True)
class RecordSizes:
    """Bytes of a table as the source sends it, and as hosts give it to each other."""

    read_table: int = TARGET_BYTES
    given_table: int = TARGET_BYTES

    def compute_read(self, records: tuple[Record, ...]) -> int:
        """Return what an answer of the source takes."""
        return sum(self._pick(r, self.read_table) for r in records)

    def compute_given(self, records: tuple[Record, ...]) -> int:
        """Return what a peer's answer takes."""
        return sum(self._pick(r, self.given_table) for r in records)

    def _pick(self, record: Record, table: int) -> int:
        return table if record.key == TABLE_KEY else TARGET_BYTES


@dataclass(eq=False)
class Transfer:
    """Bytes on their way to a host; from the source where there is no sender."""

    sender: int | None
    receiver: int
    left: float
    end: Callable[[], None]


class Transfers:
    """All transfers of a run; each host's link carries so many bytes a second each way.

    A link is shared evenly, as by connections of equal age; the source's own has no
    bound here.
    """

    def __init__(self, world: World, bytes_a_second: float) -> None:
        self._world = world
        self._rate = bytes_a_second
        self._open: set[Transfer] = set()
        self._counted_at = world.now
        self._step = 0

    def start(
        self, sender: int | None, receiver: int, size: int, end: Callable[[], None]
    ) -> Transfer:
        """Send size bytes; end runs once the last of them has come."""
        self._advance()
        transfer = Transfer(sender, receiver, float(size), end)
        self._open.add(transfer)
        self._plan()
        return transfer

    def cancel(self, transfer: Transfer) -> bool:
        """Stop a transfer that its receiver gives up; return whether it still ran."""
        if transfer not in self._open:
            return False
        self._advance()
        self._open.remove(transfer)
        self._plan()
        return True

    def _advance(self) -> None:
        seconds = self._world.now - self._counted_at
        self._counted_at = self._world.now
        if seconds <= 0.0:
            return
        for transfer, rate in self._compute_rates().items():
            transfer.left -= rate * seconds

    def _compute_rates(self) -> dict[Transfer, float]:
        sent = Counter(transfer.sender for transfer in self._open)
        taken = Counter(transfer.receiver for transfer in self._open)
        sent[None] = 1
        return {
            transfer: self._rate / max(sent[transfer.sender], taken[transfer.receiver])
            for transfer in self._open
        }

    def _plan(self) -> None:
        """Wait for the transfer that ends first."""
        self._step += 1
        step = self._step
        rates = self._compute_rates()
        first = min((t.left / rate for t, rate in rates.items()), default=math.inf)
        if math.isfinite(first):
            self._world.after(max(0.0, first), lambda: self._end_due(step))

    def _end_due(self, step: int) -> None:
        if step != self._step:
            return
        self._advance()
        due = [transfer for transfer in self._open if transfer.left <= LEAST_BYTES]
        self._open.difference_update(due)
        self._plan()
        for transfer in sorted(due, key=lambda t: t.receiver):
            transfer.end()
