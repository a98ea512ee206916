"""Decide which hosts ask the source of publications, and which are fed by them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonward_placement import LocatedMember, partition_hosts
from tarragonward_placement.const import MAX_SINGLE_CELL_HOSTS

from . import const as c

__all__ = ["KnownHost", "PollingOrder", "choose_polling_order"]


@dataclass(frozen=True)
class KnownHost:
    """A host by its address, where it is, and how long ago anyone heard it."""

    located: LocatedMember
    silent_seconds: float = 0.0


@dataclass(frozen=True)
class PollingOrder:
    """A host's place among those that ask the source, and who feeds each other.

    rank is its place among the hosts that ask; fed_rank is its place among those of
    its group that others ask for, None where it asks itself. group_share is how many
    of the groups come before its own.
    """

    hosts: int
    rank: int
    standby_rank: int | None = None
    group: frozenset[str] = frozenset()
    group_fraction: float = 0.0


def choose_polling_order(
    own: LocatedMember, others: Iterable[KnownHost]
) -> PollingOrder:
    """Return a host's place; others are the hosts known to be there, without it.

    Each change wakes every watch. Symptom: calls grow with hosts times changes. So in
    a large fleet the first hosts of each group ask, and feed the others. Who asks is
    a hint: a host that is fed too little asks by itself (following.py).
    """
    known = {host.located.name: host for host in others}
    known[own.name] = KnownHost(own)
    if len(known) <= MAX_SINGLE_CELL_HOSTS:
        return PollingOrder(len(known), sum(name < own.name for name in known))
    parts = partition_hosts(host.located for host in known.values())
    number = next(n for n, part in enumerate(parts) if own.name in part)
    awake = [
        name
        for name in parts[number]
        if known[name].silent_seconds < c.POLLER_SILENT_SECONDS
    ]
    rank = awake.index(own.name)
    is_fed = rank >= c.POLLERS_PER_GROUP
    return PollingOrder(
        hosts=len(parts) * c.POLLERS_PER_GROUP,
        rank=number * c.POLLERS_PER_GROUP + min(rank, c.POLLERS_PER_GROUP - 1),
        standby_rank=rank - c.POLLERS_PER_GROUP if is_fed else None,
        group=frozenset(parts[number]),
        group_fraction=number / len(parts),
    )
