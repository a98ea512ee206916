"""Decide which hosts poll the source of publications and which rely on them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from tarragonward_placement import LocatedMember, partition_hosts
from tarragonward_placement.const import MAX_SINGLE_CELL_HOSTS

from . import const as c

__all__ = ["KnownHost", "PollingOrder", "choose_polling_order"]


@dataclass(frozen=True)
class KnownHost:
    """A host's address and location, and the time since any host last heard it."""

    located: LocatedMember
    silent_seconds: float = 0.0


@dataclass(frozen=True)
class PollingOrder:
    """A host's position among the pollers of the source, and its group.

    poller_count is the number of pollers, rank the position among them. standby_rank is
    the position among the hosts of the group that rely on its pollers, None for a
    poller. group_fraction is the share of all groups that come before the own one. In
    a small fleet all hosts poll and group is empty.
    """

    poller_count: int
    rank: int
    standby_rank: int | None = None
    group: frozenset[str] = frozenset()
    group_fraction: float = 0.0


def choose_polling_order(
    own: LocatedMember, others: Iterable[KnownHost]
) -> PollingOrder:
    """Return a host's polling order; others are the known hosts without it.

    Each change ends every watch, so the number of calls grows with hosts times changes.
    In a large fleet therefore only the first hosts of each group poll, and the others
    receive the records from them. The order is a hint: a standby whose data gets too
    old polls by itself (following.py).
    """
    known = {host.located.name: host for host in others}
    known[own.name] = KnownHost(own)
    if len(known) <= MAX_SINGLE_CELL_HOSTS:
        return PollingOrder(len(known), sum(name < own.name for name in known))
    groups = partition_hosts(host.located for host in known.values())
    group_index = next(n for n, part in enumerate(groups) if own.name in part)
    active = [
        name
        for name in groups[group_index]
        if known[name].silent_seconds < c.POLLER_SILENT_SECONDS
    ]
    rank = active.index(own.name)
    is_standby = rank >= c.POLLERS_PER_GROUP
    return PollingOrder(
        poller_count=len(groups) * c.POLLERS_PER_GROUP,
        rank=group_index * c.POLLERS_PER_GROUP + min(rank, c.POLLERS_PER_GROUP - 1),
        standby_rank=rank - c.POLLERS_PER_GROUP if is_standby else None,
        group=frozenset(groups[group_index]),
        group_fraction=group_index / len(groups),
    )
