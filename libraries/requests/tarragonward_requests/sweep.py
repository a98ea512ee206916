"""Decide which streams and reservations on engines nobody will release any more."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from enum import Enum

from tarragonward_core import HostIdentity

from . import const as c

__all__ = ["HeldResource", "OwnerStatus", "OrphanSweep"]


class OwnerStatus(Enum):
    """What a look at an owner showed."""

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


# How long a status must last before the owner counts as gone.
GRACE_SECONDS = {
    OwnerStatus.REPLACED: 0.0,
    OwnerStatus.REFUSED: c.OWNER_REFUSED_GRACE_SECONDS,
    OwnerStatus.UNREACHABLE: c.OWNER_UNREACHABLE_GRACE_SECONDS,
}


@dataclass(frozen=True)
class HeldResource:
    """A stream or reservation on an engine; owner is the text that the engine has."""

    target: str
    held_id: str
    owner: str
    is_reservation: bool = False

    @property
    def key(self) -> tuple[str, str]:
        """Return what tells it from all other memory held."""
        return self.target, self.held_id


@dataclass
class _Owner:
    status: OwnerStatus = OwnerStatus.ALIVE
    since: float = 0.0
    grace_factor: int = 1
    first_seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_held(
        self,
        memory: list[HeldResource],
        reported: Set[str],
        now: float,
        lag: float,
    ) -> None:
        self.first_seen = _merge_first_seen(self.first_seen, memory, reported, now)
        if self.status not in (OwnerStatus.REFUSED, OwnerStatus.UNREACHABLE):
            return
        # An owner that is cut from this host may be alive and at work. Symptom of
        # cancelling whatever it opens: its requests never end. Memory taken since it
        # was lost from sight proves it alive, and the time until the next cancel
        # begins anew, twice as long. Reports lag: what shows within the lag may be
        # older than the owner's end.
        if any(first > self.since + lag for first in self.first_seen.values()):
            self.since, self.grace_factor = now, self.grace_factor * 2

    def is_gone(self, now: float) -> bool:
        if self.status is OwnerStatus.ALIVE:
            return False
        grace = GRACE_SECONDS[self.status]
        if self.status is not OwnerStatus.REPLACED and self.grace_factor > 1:
            grace = c.OWNER_UNREACHABLE_GRACE_SECONDS * self.grace_factor
        return now - self.since >= min(grace, c.OWNER_MAX_GRACE_SECONDS)


class OrphanSweep:
    """What one host knows of those who hold memory on the engines it watches.

    It takes engines' reports and looks at owners, with the time in seconds, and says
    what to cancel. A wrong cancel costs the owner a new attempt, never an answer; one
    left out costs the engine's memory until a later sweep.
    """

    def __init__(self, identity: HostIdentity) -> None:
        # How much older than its first sight a piece of memory may be: an engine's
        # report lags, and whoever reads reports less often adds its interval.
        self.lag_seconds = c.ENGINE_REPORT_LAG_SECONDS
        self._identity = identity
        self._owners: dict[HostIdentity, _Owner] = {}
        self._own_orphans_since: dict[tuple[str, str], float] = {}

    def get_owners(self) -> list[HostIdentity]:
        """Return the other hosts that hold memory, as last reported."""
        return list(self._owners)

    def record_owner_status(
        self, identity: HostIdentity, status: OwnerStatus, now: float
    ) -> None:
        """Note what a look at an owner showed."""
        owner = self._owners.get(identity)
        if owner is not None and owner.status is not status:
            owner.status, owner.since = status, now

    def process_reports(
        self,
        held: Iterable[HeldResource],
        reported: Set[str],
        active_ids: Set[str],
        now: float,
    ) -> list[HeldResource]:
        """Note all that is held now, and return what is to be cancelled.

        reported are the targets that answered; what was held on the others is taken
        to be held still. active_ids are the ids that this host itself still reads or
        releases.
        """
        by_owner = self._group_by_owner(held)
        own = by_owner.pop(self._identity, [])
        for identity in by_owner.keys() - self._owners.keys():
            self._owners[identity] = _Owner(since=now)
        cancels = self._find_own_orphans(own, reported, active_ids, now)
        for identity, owner in list(self._owners.items()):
            memory = by_owner.get(identity, [])
            owner.update_held(memory, reported, now, self.lag_seconds)
            if not owner.first_seen:
                del self._owners[identity]
            elif owner.is_gone(now):
                cancels += [m for m in memory if m.held_id not in active_ids]
        return cancels

    def _group_by_owner(
        self, items: Iterable[HeldResource]
    ) -> dict[HostIdentity, list[HeldResource]]:
        grouped: dict[HostIdentity, list[HeldResource]] = {}
        for item in items:
            try:
                identity = HostIdentity.parse(item.owner)
            except ValueError:
                continue  # Not made by a host of this system: not ours to cancel.
            grouped.setdefault(identity, []).append(item)
        return grouped

    def _find_own_orphans(
        self,
        memory: list[HeldResource],
        reported: Set[str],
        active_ids: Set[str],
        now: float,
    ) -> list[HeldResource]:
        # A cancel that could not be delivered for long, by a frozen engine, is given
        # up. Symptom: memory lost while its owner lives. What this host does not know
        # of for some seconds is a leftover; the wait covers reports that lag.
        orphans = [item for item in memory if item.held_id not in active_ids]
        self._own_orphans_since = _merge_first_seen(
            self._own_orphans_since, orphans, reported, now
        )
        return [
            item
            for item in orphans
            if now - self._own_orphans_since[item.key] >= c.OWN_ORPHAN_GRACE_SECONDS
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
