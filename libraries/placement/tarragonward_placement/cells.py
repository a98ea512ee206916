"""Divide a large fleet into cells: a few hosts that plan a few engines among them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import lru_cache

from . import const as c

__all__ = ["Cell", "Located", "choose_cell", "divide_hosts"]


@dataclass(frozen=True)
class Located:
    """A host or an engine by name, and the failure domain that it is in."""

    name: str
    failure_domain: str


@dataclass(frozen=True)
class Cell:
    """The hosts that tell each other all they do, and the engines that they use.

    is_whole is set where that is the whole fleet.
    """

    hosts: frozenset[str]
    engines: frozenset[str]
    is_whole: bool


def choose_cell(
    own: Located, hosts: Iterable[Located], engines: Iterable[Located]
) -> Cell:
    """Return the cell of one host; hosts are those known to be there, it among them.

    Hosts that know little of each other's prompts meet on the same engines. Symptom:
    some engines refuse most of what they get while others idle. All hosts cannot
    tell all others at once in a large fleet; the few of a cell can. All of it is a
    hint: where two hosts see other members, they share an engine, and it may refuse.
    """
    members = {host.name: host for host in hosts}
    members[own.name] = own
    known = list(engines)
    if len(members) <= c.MAX_SINGLE_CELL_HOSTS:
        return Cell(frozenset(members), frozenset(e.name for e in known), True)
    domains = sorted({host.failure_domain for host in members.values()})
    near_hosts = _order(
        host.name
        for host in members.values()
        if host.failure_domain == own.failure_domain
    )
    near_engines = _order(
        engine.name
        for engine in known
        if _find_domain(engine, domains) == own.failure_domain
    )
    count = _count_cells(len(near_hosts), len(near_engines))
    place = near_hosts.index(own.name) * count // len(near_hosts)
    return Cell(
        frozenset(_take_part(near_hosts, place, count)),
        frozenset(_take_part(near_engines, place, count)),
        is_whole=False,
    )


def divide_hosts(hosts: Iterable[Located]) -> list[tuple[str, ...]]:
    """Return the hosts of each failure domain in groups of about CELL_HOSTS.

    All hosts that know the same ones return the same parts, and order them alike.
    """
    domains: dict[str, list[str]] = {}
    for host in hosts:
        domains.setdefault(host.failure_domain, []).append(host.name)
    parts = []
    for _, names in sorted(domains.items()):
        ordered = _order(names)
        count = max(1, round(len(ordered) / c.CELL_HOSTS))
        parts += [tuple(_take_part(ordered, n, count)) for n in range(count)]
    return parts


def _count_cells(hosts: int, engines: int) -> int:
    """Return how many cells a failure domain has.

    In a small cell a few long prompts, or the callers that chance gives its hosts, take
    all engines. Symptom: its prompts are late while the engines beside it idle.
    """
    count = round(max(hosts / c.CELL_HOSTS, engines / c.CELL_ENGINES))
    return max(1, min(count, engines // c.MIN_CELL_ENGINES))


def _find_domain(engine: Located, domains: Sequence[str]) -> str:
    """Return the domain whose hosts use an engine: its own, if any host is there."""
    if engine.failure_domain in domains:
        return engine.failure_domain
    return domains[int.from_bytes(_hash(engine.name)[:4]) % len(domains)]


def _take_part(names: Sequence[str], place: int, count: int) -> list[str]:
    whole = len(names)
    return [name for rank, name in enumerate(names) if rank * count // whole == place]


def _order(names: Iterable[str]) -> list[str]:
    """Return names in an order that all hosts share and that mixes neighbours."""
    return sorted(names, key=_hash)


@lru_cache(c.HASH_CACHE_SIZE)
def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
