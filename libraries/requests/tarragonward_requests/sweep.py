"""Find orphans: streams and reservations on engines that no host will release."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from enum import Enum

from tarragonward_core import HostIdentity

from . import const as c

__all__ = ["HeldResource", "OwnerStatus", "OrphanSweep"]


class OwnerStatus(Enum):
    """Result of a probe of an owner."""

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


# How long a status must persist before the owner counts as gone.
GRACE_SECONDS = {
    OwnerStatus.REPLACED: 0.0,
    OwnerStatus.REFUSED: c.OWNER_REFUSED_GRACE_SECONDS,
    OwnerStatus.UNREACHABLE: c.OWNER_UNREACHABLE_GRACE_SECONDS,
}


@dataclass(frozen=True)
class HeldResource:
    """A stream or reservation on an engine; owner is as reported by the engine."""

    target: str
    held_id: str
    owner: str
    is_reservation: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Return the unique key of the resource."""
        return self.target, self.held_id


@dataclass
class _Owner:
    status: OwnerStatus = OwnerStatus.ALIVE
    grace_started_at: float = 0.0
    grace_factor: int = 1
    first_seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_held(
        self,
        resources: list[HeldResource],
        reported: Set[str],
        now: float,
        lag: float,
    ) -> None:
        self.first_seen = _merge_first_seen(self.first_seen, resources, reported, now)
        if self.status not in (OwnerStatus.REFUSED, OwnerStatus.UNREACHABLE):
            return
        # An owner behind a network partition may be alive. If everything that it opens
        # were cancelled, its requests would never end. A resource taken since contact
        # was lost proves it alive, and the grace time starts anew and is doubled.
        # Reports lag: what appears within the lag may be older than the owner's end.
        if any(
            first > self.grace_started_at + lag for first in self.first_seen.values()
        ):
            self.grace_started_at, self.grace_factor = now, self.grace_factor * 2

    def is_gone(self, now: float) -> bool:
        if self.status is OwnerStatus.ALIVE:
            return False
        grace = GRACE_SECONDS[self.status]
        if self.status is not OwnerStatus.REPLACED and self.grace_factor > 1:
            grace = c.OWNER_UNREACHABLE_GRACE_SECONDS * self.grace_factor
        return now - self.grace_started_at >= min(grace, c.OWNER_MAX_GRACE_SECONDS)


class OrphanSweep:
    """Tracks the owners of resources on the engines that this host watches.

    It takes engine reports and owner statuses with the time in seconds, and returns
    what to cancel. A wrong cancellation costs the owner a new attempt, never an answer.
    A missed one costs engine memory until a later sweep.
    """

    def __init__(self, identity: HostIdentity) -> None:
        # How much older a resource may be than its first report: the lag of the
        # engine's report. Whoever reads the reports adds the interval between the
        # reads.
        self.lag_seconds = c.ENGINE_REPORT_LAG_SECONDS
        self._identity = identity
        self._owners: dict[HostIdentity, _Owner] = {}
        self._orphans_first_seen: dict[tuple[str, str], float] = {}

    def get_owners(self) -> list[HostIdentity]:
        """Return the other hosts that hold resources, as last reported."""
        return list(self._owners)

    def record_owner_status(
        self, identity: HostIdentity, status: OwnerStatus, now: float
    ) -> None:
        """Record the result of a probe of an owner."""
        owner = self._owners.get(identity)
        if owner is not None and owner.status is not status:
            owner.status, owner.grace_started_at = status, now

    def process_reports(
        self,
        held: Iterable[HeldResource],
        reported: Set[str],
        active_ids: Set[str],
        now: float,
    ) -> list[HeldResource]:
        """Process engine reports and return the resources to cancel.

        reported has the targets that answered; resources on other targets are assumed
        to be held still. active_ids has the ids that this host itself is still reading
        or releasing.
        """
        by_owner = self._group_by_owner(held)
        own = by_owner.pop(self._identity, [])
        for identity in by_owner.keys() - self._owners.keys():
            self._owners[identity] = _Owner(grace_started_at=now)
        to_cancel = self._find_own_orphans(own, reported, active_ids, now)
        for identity, owner in list(self._owners.items()):
            resources = by_owner.get(identity, [])
            owner.update_held(resources, reported, now, self.lag_seconds)
            if not owner.first_seen:
                del self._owners[identity]
            elif owner.is_gone(now):
                to_cancel += [
                    item for item in resources if item.held_id not in active_ids
                ]
        return to_cancel

    def _group_by_owner(
        self, items: Iterable[HeldResource]
    ) -> dict[HostIdentity, list[HeldResource]]:
        grouped: dict[HostIdentity, list[HeldResource]] = {}
        for item in items:
            try:
                identity = HostIdentity.parse(item.owner)
            except ValueError:
                continue  # Not created by a host of this system, so not cancelled.
            grouped.setdefault(identity, []).append(item)
        return grouped

    def _find_own_orphans(
        self,
        resources: list[HeldResource],
        reported: Set[str],
        active_ids: Set[str],
        now: float,
    ) -> list[HeldResource]:
        # A cancellation that a frozen engine does not accept is abandoned after a
        # while, which would leak memory as long as this host lives. So a resource that
        # this host has not known for the grace time is an orphan; the grace time covers
        # the lag of reports.
        orphans = [item for item in resources if item.held_id not in active_ids]
        self._orphans_first_seen = _merge_first_seen(
            self._orphans_first_seen, orphans, reported, now
        )
        return [
            item
            for item in orphans
            if now - self._orphans_first_seen[item.key] >= c.OWN_ORPHAN_GRACE_SECONDS
        ]


def _merge_first_seen(
    first_seen: dict[tuple[str, str], float],
    held: list[HeldResource],
    reported: Set[str],
    now: float,
) -> dict[tuple[str, str], float]:
    """Return when each resource was first seen.

    Entries of targets that did not report are kept.
    """
    merged = {key: first for key, first in first_seen.items() if key[0] not in reported}
    return merged | {item.key: first_seen.get(item.key, now) for item in held}
