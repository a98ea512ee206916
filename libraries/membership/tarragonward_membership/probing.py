"""Choose which hosts to probe: own failure domain in turn, others by bridges."""

from __future__ import annotations

import math
import random

from tarragonward_core import Address

from . import const as c
from .members import KnownHost, Members
from .watchers import choose_hosts

__all__ = ["ProbeSchedule", "get_round_seconds", "get_suspicion_seconds"]


def get_round_seconds(hosts: int) -> float:
    """Return the interval between probe rounds for a number of hosts."""
    seconds = hosts * c.ROUND_SECONDS_PER_HOST
    return min(max(seconds, c.MIN_ROUND_SECONDS), c.MAX_ROUND_SECONDS)


def get_suspicion_seconds(hosts: int) -> float:
    """Return how long a suspected host has to refute the suspicion.

    Gossip reaches all hosts in about log2(hosts) rounds, and the refutation takes as
    many to come back.
    """
    rounds = c.SUSPICION_ROUNDS_PER_DOUBLING * math.ceil(math.log2(hosts + 1))
    return c.SUSPICION_SECONDS + rounds * get_round_seconds(hosts)


class ProbeSchedule:
    """Schedule probes: one per round in the own domain, and few to other domains."""

    def __init__(
        self, own: Address, failure_domain: str, region: str, rng: random.Random
    ) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._region = region
        self._rng = rng
        self._probe_order: list[Address] = []
        self._round = 0

    def choose_probes(self, members: Members) -> list[Address]:
        """Return the addresses to probe in the next round."""
        self._round += 1
        chosen = [self._choose_local(members), self._choose_dead(members)]
        for domain in sorted(members.get_domains() - {self._failure_domain}):
            chosen.append(self._choose_remote(members, domain))
        return [address for address in chosen if address is not None]

    def is_bridge(self, members: Members, failure_domain: str) -> bool:
        """Return whether this host probes another domain on behalf of its own."""
        local_hosts = [*members.get_available(self._failure_domain), self._own]
        key = f"bridge {self._failure_domain} {failure_domain}"
        return self._own in choose_hosts(key, local_hosts, c.BRIDGES_PER_DOMAIN)

    def choose_helpers(self, members: Members, address: Address) -> list[Address]:
        """Return live hosts for indirect probes, of the own domain if it has any."""
        live = [h for h in members if h.is_live and h.address != address]
        local_hosts = [
            h for h in live if h.failure_domain == self._failure_domain
        ] or live
        count = min(len(local_hosts), c.INDIRECT_HELPERS)
        return [host.address for host in self._rng.sample(local_hosts, count)]

    def _choose_local(self, members: Members) -> Address | None:
        """Return the next host in a random order, shuffled again after each pass.

        Each pass probes every local member once, so a failure is detected within two
        passes.
        """
        while self._probe_order:
            host = members.get(self._probe_order.pop())
            if host is not None and not host.is_dead:
                return host.address
        local_hosts = [
            h.address for h in members if self._is_local(h) and not h.is_dead
        ]
        self._rng.shuffle(local_hosts)
        self._probe_order = local_hosts
        return self._probe_order.pop() if self._probe_order else None

    def _choose_dead(self, members: Members) -> Address | None:
        """Return a dead host of the own domain every DEAD_PROBE_INTERVAL_ROUNDS.

        After a network partition each side considers the other dead. Without these
        probes neither would contact the other again, and they would never rejoin.
        """
        if self._round % c.DEAD_PROBE_INTERVAL_ROUNDS:
            return None
        dead = [h.address for h in members if self._is_local(h) and h.is_dead]
        return self._rng.choice(dead) if dead else None

    def _choose_remote(self, members: Members, domain: str) -> Address | None:
        candidates = [h for h in members if h.failure_domain == domain]
        if self._round % self._get_bridge_interval(members, candidates):
            return None
        if not self.is_bridge(members, domain):
            return None
        live = [h.address for h in candidates if not h.is_dead]
        dead = [h.address for h in candidates if h.is_dead]
        is_dead_probe = dead and self._rng.random() < 1 / c.DEAD_PROBE_INTERVAL_ROUNDS
        if is_dead_probe or not live:
            return self._rng.choice(dead) if dead else None
        return self._rng.choice(live)

    def _get_bridge_interval(
        self, members: Members, candidates: list[KnownHost]
    ) -> int:
        if len(members) < c.LARGE_FLEET_HOSTS:
            return c.BRIDGE_INTERVAL_ROUNDS
        is_other_region = all(host.region != self._region for host in candidates)
        return (
            c.REGION_INTERVAL_ROUNDS_LARGE
            if is_other_region
            else c.BRIDGE_INTERVAL_ROUNDS_LARGE
        )

    def _is_local(self, host: KnownHost) -> bool:
        return host.failure_domain == self._failure_domain
