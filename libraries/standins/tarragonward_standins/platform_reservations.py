"""Record the use of each reservation at a runner, and check it against the rules."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .platform_engine import Reservation

__all__ = ["ReservationLog", "ReservationRecord", "check_reservations"]

# The platform's bounds: freeMs and idleMaxMs.
FREE_SECONDS = 4.0
IDLE_SECONDS = 9.0


@dataclass(eq=False)
class ReservationRecord:
    """The lifetime and use of one reservation; times are the event loop's."""

    runner_id: str
    reservation: Reservation
    created_at: float
    ended_at: float | None = None
    used_by: str = ""
    last_use_ended_at: float | None = None
    is_shared: bool = False

    def begin_use(self, request_id: str) -> None:
        """Record that a request uses it, or tries to while another one does."""
        if self.used_by:
            self.is_shared = True
        else:
            self.used_by = request_id

    def end_use(self, request_id: str, now: float) -> None:
        """Record that a request ended or was rejected."""
        if self.used_by in ("", request_id):
            self.used_by = ""
            self.last_use_ended_at = now


class ReservationLog:
    """The reservation records of one runner, updated from its engine's state."""

    def __init__(self, runner_id: str) -> None:
        self._runner_id = runner_id
        self.records: list[ReservationRecord] = []
        self._open: dict[str, ReservationRecord] = {}

    def update(self, reservations: Iterable[Reservation], now: float) -> None:
        """Update the records from the reservations that the engine holds now."""
        held = {reservation.id: reservation for reservation in reservations}
        for reservation_id, record in list(self._open.items()):
            if held.get(reservation_id) is not record.reservation:
                record.ended_at = now
                del self._open[reservation_id]
        for reservation_id, reservation in held.items():
            if reservation_id not in self._open:
                record = ReservationRecord(self._runner_id, reservation, now)
                self._open[reservation_id] = record
                self.records.append(record)

    def get(self, reservation_id: str) -> ReservationRecord | None:
        """Return the record of a current reservation."""
        return self._open.get(reservation_id)


def check_reservations(
    records: Iterable[ReservationRecord], now: float
) -> list[tuple[str, str]]:
    """Return the violated rules, each with the reservation concerned."""
    violations = []
    for record in records:
        name = f"{record.runner_id}/{record.reservation.id}"
        end = now if record.ended_at is None else record.ended_at
        used_until = record.last_use_ended_at
        if record.is_shared:
            violations.append(("LIMIT", name))
        if used_until is None and not record.used_by:
            if end - record.created_at > IDLE_SECONDS:
                violations.append(("STUCK", name))
        elif used_until is not None and not record.used_by:
            if end - used_until > FREE_SECONDS:
                violations.append(("LEAK", name))
    return violations
