"""Decide which boots of targets may get work, from records that may come late."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonward_core import Address

__all__ = ["RegisteredTarget", "TargetRegistry", "Withdrawn"]

# How many withdrawn boots are remembered, so that a late record brings none back.
MAX_WITHDRAWN = 4_096


@dataclass(frozen=True)
class RegisteredTarget:
    """One boot of a target as registered; revision orders what is said of it."""

    id: str
    service: str
    address: Address
    failure_domain: str
    slots: int
    is_ready: bool
    revision: int
    cold_seconds: float = 0.0


@dataclass(frozen=True)
class Withdrawn:
    """A boot that is registered no more."""

    id: str
    revision: int


class TargetRegistry:
    """The newest record of each boot; a record older than one known changes nothing.

    An id names one boot and never comes back with an older revision, so records from
    the store and from peers may be taken in any order.
    """

    def __init__(self) -> None:
        self._targets: dict[str, RegisteredTarget] = {}
        self._withdrawn: dict[str, int] = {}
        # Both are built anew after a change, when they are asked for.
        self._by_service: dict[str, tuple[RegisteredTarget, ...]] = {}
        self._holders: dict[Address, RegisteredTarget] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._targets)

    def apply(self, record: RegisteredTarget | Withdrawn) -> bool:
        """Take a record in; return whether it changed what is known."""
        known = self._get_revision(record.id)
        if record.revision <= known:
            return False
        self.revision = max(self.revision, record.revision)
        if isinstance(record, Withdrawn):
            self._remember_withdrawn(record)
            gone = self._targets.pop(record.id, None)
            self._forget_built()
            return gone is not None
        self._withdrawn.pop(record.id, None)
        self._targets[record.id] = record
        self._forget_built()
        return True

    def apply_all(self, records: Iterable[RegisteredTarget], revision: int) -> None:
        """Take in a whole reading at a revision: what it lacks was withdrawn."""
        listed = list(records)
        for record in listed:
            self.apply(record)
        present = {record.id for record in listed}
        for target in list(self._targets.values()):
            if target.id not in present and target.revision <= revision:
                self.apply(Withdrawn(target.id, revision))
        self.revision = max(self.revision, revision)

    def get(self, target_id: str) -> RegisteredTarget | None:
        """Return the boot with this id, or None where it is not registered."""
        return self._targets.get(target_id)

    def get_all(self) -> tuple[RegisteredTarget, ...]:
        """Return all registered boots."""
        return tuple(self._targets.values())

    def get_ready(self, service: str) -> tuple[RegisteredTarget, ...]:
        """Return the boots of a service that may get work, ordered by id."""
        if service not in self._by_service:
            usable = (
                target
                for target in self._targets.values()
                if target.service == service and target.is_ready
            )
            self._by_service[service] = tuple(
                sorted(filter(self._holds_address, usable), key=lambda each: each.id)
            )
        return self._by_service[service]

    def _holds_address(self, target: RegisteredTarget) -> bool:
        # A boot that crashed stays registered until its record lapses, seconds later,
        # and its address may be another boot's by then. Symptom: being idle it is
        # chosen first, the other one refuses as misdirected, and two such refusals use
        # up a request's attempts. An address is given on only after its boot has ended,
        # and a boot that ended writes no more, so the newest record tells who is there.
        if not self._holders:
            for each in self._targets.values():
                holder = self._holders.get(each.address)
                if holder is None or each.revision > holder.revision:
                    self._holders[each.address] = each
        return self._holders[target.address] is target

    def _forget_built(self) -> None:
        self._by_service.clear()
        self._holders.clear()

    def _get_revision(self, target_id: str) -> int:
        target = self._targets.get(target_id)
        if target is not None:
            return target.revision
        return self._withdrawn.get(target_id, 0)

    def _remember_withdrawn(self, record: Withdrawn) -> None:
        self._withdrawn.pop(record.id, None)
        self._withdrawn[record.id] = record.revision
        while len(self._withdrawn) > MAX_WITHDRAWN:
            self._withdrawn.pop(next(iter(self._withdrawn)))
