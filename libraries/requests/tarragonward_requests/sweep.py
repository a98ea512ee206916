"""Decide which streams and reservations on engines nobody will release any more."""

from __future__ import annotations

from collections.abc import Iterable, Set
from dataclasses import dataclass, field
from enum import Enum

from tarragonward_core import HostIdentity

from . import const as c

__all__ = ["HeldMemory", "OwnerSign", "Sweep"]


class OwnerSign(Enum):
    """What a look at an owner showed."""

    ALIVE = "alive"
    REPLACED = "replaced"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


# How long a sign must last before the owner counts as gone.
GRACE_SECONDS = {
    OwnerSign.REPLACED: 0.0,
    OwnerSign.REFUSED: c.OWNER_REFUSED_SECONDS,
    OwnerSign.UNREACHABLE: c.OWNER_UNREACHABLE_SECONDS,
}


@dataclass(frozen=True)
class HeldMemory:
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
    sign: OwnerSign = OwnerSign.ALIVE
    since: float = 0.0
    factor: int = 1
    seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def note_held(
        self,
        memory: list[HeldMemory],
        reported: Set[str],
        now: float,
        lag: float,
    ) -> None:
        self.seen = _merge_seen(self.seen, memory, reported, now)
        if self.sign not in (OwnerSign.REFUSED, OwnerSign.UNREACHABLE):
            return
        # An owner that is cut from this host may be alive and at work. Symptom of
        # cancelling whatever it opens: its requests never end. Memory taken since it
        # was lost from sight proves it alive, and the time until the next cancel
        # begins anew, twice as long. Reports lag: what shows within the lag may be
        # older than the owner's end.
        if any(first > self.since + lag for first in self.seen.values()):
            self.since, self.factor = now, self.factor * 2

    def is_gone(self, now: float) -> bool:
        if self.sign is OwnerSign.ALIVE:
            return False
        grace = GRACE_SECONDS[self.sign]
        if self.sign is not OwnerSign.REPLACED and self.factor > 1:
            grace = c.OWNER_UNREACHABLE_SECONDS * self.factor
        return now - self.since >= min(grace, c.OWNER_GRACE_CAP_SECONDS)


class Sweep:
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
        self._own_orphans: dict[tuple[str, str], float] = {}

    def get_owners(self) -> list[HostIdentity]:
        """Return the other hosts that hold memory, as last reported."""
        return list(self._owners)

    def note_owner(self, identity: HostIdentity, sign: OwnerSign, now: float) -> None:
        """Note what a look at an owner showed."""
        owner = self._owners.get(identity)
        if owner is not None and owner.sign is not sign:
            owner.sign, owner.since = sign, now

    def note_reports(
        self,
        held: Iterable[HeldMemory],
        reported: Set[str],
        own_active: Set[str],
        now: float,
    ) -> list[HeldMemory]:
        """Note all that is held now, and return what is to be cancelled.

        reported are the targets that answered; what was held on the others is taken
        to be held still. own_active are the ids that this host itself still reads or
        releases.
        """
        by_owner = self._group(held)
        own = by_owner.pop(self._identity, [])
        for identity in by_owner.keys() - self._owners.keys():
            self._owners[identity] = _Owner(since=now)
        cancels = self._judge_own(own, reported, own_active, now)
        for identity, owner in list(self._owners.items()):
            memory = by_owner.get(identity, [])
            owner.note_held(memory, reported, now, self.lag_seconds)
            if not owner.seen:
                del self._owners[identity]
            elif owner.is_gone(now):
                cancels += [m for m in memory if m.held_id not in own_active]
        return cancels

    def _group(
        self, items: Iterable[HeldMemory]
    ) -> dict[HostIdentity, list[HeldMemory]]:
        grouped: dict[HostIdentity, list[HeldMemory]] = {}
        for item in items:
            try:
                identity = HostIdentity.parse(item.owner)
            except ValueError:
                continue  # Not made by a host of this system: not ours to cancel.
            grouped.setdefault(identity, []).append(item)
        return grouped

    def _judge_own(
        self,
        memory: list[HeldMemory],
        reported: Set[str],
        own_active: Set[str],
        now: float,
    ) -> list[HeldMemory]:
        # A cancel that could not be delivered for long, by a frozen engine, is given
        # up. Symptom: memory lost while its owner lives. What this host does not know
        # of for some seconds is a leftover; the wait covers reports that lag.
        orphans = [item for item in memory if item.held_id not in own_active]
        self._own_orphans = _merge_seen(self._own_orphans, orphans, reported, now)
        return [
            item
            for item in orphans
            if now - self._own_orphans[item.key] >= c.OWN_ORPHAN_SECONDS
        ]


def _merge_seen(
    seen: dict[tuple[str, str], float],
    held: list[HeldMemory],
    reported: Set[str],
    now: float,
) -> dict[tuple[str, str], float]:
    """Return since when each piece is seen; what is not reported stays as it was."""
    merged = {key: first for key, first in seen.items() if key[0] not in reported}
    return merged | {item.key: seen.get(item.key, now) for item in held}
