"""Divide a large fleet into cells: some hosts that plan some engines among them."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from . import const as c

__all__ = ["Cell", "LocatedMember", "choose_cell", "partition_hosts"]


@dataclass(frozen=True)
class LocatedMember:
    """A host or an engine by name, and its failure domain."""

    name: str
    failure_domain: str


@dataclass(frozen=True)
class Cell:
    """The hosts that share all their state, and the engines that they use.

    covers_fleet is set if the cell is the whole fleet.
    """

    hosts: frozenset[str]
    engines: frozenset[str]
    covers_fleet: bool


def choose_cell(
    own: LocatedMember,
    hosts: Iterable[LocatedMember],
    engines: Iterable[LocatedMember],
    cold_domains: Collection[str] = (),
) -> Cell:
    """Return the cell of one host; hosts are those known to be alive.

    Hosts that know little of each other's prompts collide on the same engines: some
    engines refuse most of what they get while others idle. In a large fleet not every
    host can notify every other at once, but the hosts of a cell can. Membership is a
    hint: if two hosts see different members, they share an engine, which may then
    refuse.

    The hosts of a failure domain without engines, as while it is evacuated, join the
    cells of the other domains. So do hosts and engines of cold_domains, in which most
    engines have just started: a cold engine takes few requests, and hosts that went
    back to their own engines at once would crowd on the few that they may use.
    """
    members = {host.name: host for host in hosts}
    members[own.name] = own
    known = list(engines)
    if len(members) <= c.MAX_SINGLE_CELL_HOSTS:
        return Cell(frozenset(members), frozenset(e.name for e in known), True)
    domains = sorted({host.failure_domain for host in members.values()})
    domains = [domain for domain in domains if domain not in cold_domains] or domains
    domain_by_engine = {engine.name: _find_domain(engine, domains) for engine in known}
    serving = sorted(set(domain_by_engine.values())) or domains
    own_domain = _find_domain(own, serving)
    domain_hosts = _order_by_hash(
        host.name
        for host in members.values()
        if _find_domain(host, serving) == own_domain
    )
    domain_engines = _order_by_hash(
        name for name, domain in domain_by_engine.items() if domain == own_domain
    )
    count = _count_cells(len(domain_hosts), len(domain_engines))
    cell_index = domain_hosts.index(own.name) * count // len(domain_hosts)
    return Cell(
        frozenset(_take_slice(domain_hosts, cell_index, count)),
        frozenset(_take_slice(domain_engines, cell_index, count)),
        covers_fleet=False,
    )


def partition_hosts(hosts: Iterable[LocatedMember]) -> list[tuple[str, ...]]:
    """Return the hosts of each failure domain in groups of about CELL_HOSTS.

    All hosts that know the same hosts return the same groups in the same order.
    """
    domains: dict[str, list[str]] = {}
    for host in hosts:
        domains.setdefault(host.failure_domain, []).append(host.name)
    groups = []
    for _, names in sorted(domains.items()):
        ordered = _order_by_hash(names)
        count = max(1, round(len(ordered) / c.CELL_HOSTS))
        groups += [tuple(_take_slice(ordered, n, count)) for n in range(count)]
    return groups


def _count_cells(hosts: int, engines: int) -> int:
    """Return the number of cells in a failure domain.

    In a small cell, a few long prompts, or an uneven share of the callers, occupy all
    engines: its prompts are late while engines of neighbouring cells idle.
    """
    count = round(max(hosts / c.CELL_HOSTS, engines / c.CELL_ENGINES))
    return max(1, min(count, engines // c.MIN_CELL_ENGINES))


def _find_domain(member: LocatedMember, domains: Sequence[str]) -> str:
    """Return the domain of a host or an engine, another one if it isn't among these."""
    if member.failure_domain in domains:
        return member.failure_domain
    return domains[int.from_bytes(_hash_name(member.name)[:4]) % len(domains)]


def _take_slice(names: Sequence[str], cell_index: int, count: int) -> list[str]:
    total = len(names)
    return [
        name for rank, name in enumerate(names) if rank * count // total == cell_index
    ]


def _order_by_hash(names: Iterable[str]) -> list[str]:
    """Return names in an order that all hosts share and that mixes similar names."""
    return sorted(names, key=_hash_name)


@lru_cache(c.HASH_CACHE_SIZE)
def _hash_name(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
