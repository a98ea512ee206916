"""Choose whom to probe: the own failure domain in turn, others through bridges."""

from __future__ import annotations

import math
import random

from tarragonward_core import Address

from . import const as c
from .members import KnownHost, Members
from .watchers import choose_hosts

__all__ = ["ProbeSchedule", "get_round_seconds", "get_suspicion_seconds"]


def get_round_seconds(hosts: int) -> float:
    """Return the length of a round for this many hosts."""
    seconds = hosts * c.ROUND_SECONDS_A_HOST
    return min(max(seconds, c.MIN_ROUND_SECONDS), c.MAX_ROUND_SECONDS)


def get_suspicion_seconds(hosts: int) -> float:
    """Return how long a suspected host has to refute.

    News reaches all in about log2(hosts) rounds, and the refutation as many back.
    """
    rounds = c.SUSPICION_ROUNDS_A_DOUBLING * math.ceil(math.log2(hosts + 1))
    return c.SUSPICION_SECONDS + rounds * get_round_seconds(hosts)


class ProbeSchedule:
    """Spread the probes: one a round in the own domain, and few across."""

    def __init__(
        self, own: Address, failure_domain: str, region: str, rng: random.Random
    ) -> None:
        self._own = own
        self._failure_domain = failure_domain
        self._region = region
        self._rng = rng
        self._turn: list[Address] = []
        self._round = 0

    def choose(self, members: Members) -> list[Address]:
        """Return whom to probe in the next round."""
        self._round += 1
        chosen = [self._choose_near(members), self._choose_dead(members)]
        for domain in sorted(members.get_domains() - {self._failure_domain}):
            chosen.append(self._choose_across(members, domain))
        return [address for address in chosen if address is not None]

    def is_bridge(self, members: Members, failure_domain: str) -> bool:
        """Return whether this host speaks with another domain for its own."""
        near = [*members.get_there(self._failure_domain), self._own]
        subject = f"bridge {self._failure_domain} {failure_domain}"
        return self._own in choose_hosts(subject, near, c.BRIDGES_A_DOMAIN)

    def choose_helpers(self, members: Members, target: Address) -> list[Address]:
        """Return some live hosts of the own domain, or any where it has none."""
        live = [h for h in members if h.is_heard and h.address != target]
        near = [h for h in live if h.failure_domain == self._failure_domain] or live
        count = min(len(near), c.INDIRECT_HELPERS)
        return [host.address for host in self._rng.sample(near, count)]

    def _choose_near(self, members: Members) -> Address | None:
        """Return the next of a random order of the domain; new orders for ever.

        Each member is probed once in a turn, so a death is found within two turns.
        """
        while self._turn:
            host = members.get(self._turn.pop())
            if host is not None and not host.is_dead:
                return host.address
        near = [h.address for h in members if self._is_near(h) and not h.is_dead]
        self._rng.shuffle(near)
        self._turn = near
        return self._turn.pop() if self._turn else None

    def _choose_dead(self, members: Members) -> Address | None:
        """Return now and then a listed dead host of the own domain.

        After a cut each side holds the other for dead. Symptom: neither probes the
        other and they stay apart for good. A probe at a low rate joins them again.
        """
        if self._round % c.DEAD_PROBE_ROUNDS:
            return None
        dead = [h.address for h in members if self._is_near(h) and h.is_dead]
        return self._rng.choice(dead) if dead else None

    def _choose_across(self, members: Members, domain: str) -> Address | None:
        there = [h for h in members if h.failure_domain == domain]
        if self._round % self._get_bridge_rounds(members, there):
            return None
        if not self.is_bridge(members, domain):
            return None
        live = [h.address for h in there if not h.is_dead]
        dead = [h.address for h in there if h.is_dead]
        wants_dead = dead and self._rng.random() < 1 / c.DEAD_PROBE_ROUNDS
        if wants_dead or not live:
            return self._rng.choice(dead) if dead else None
        return self._rng.choice(live)

    def _get_bridge_rounds(self, members: Members, there: list[KnownHost]) -> int:
        if len(members) < c.LARGE_FLEET_HOSTS:
            return c.BRIDGE_ROUNDS
        is_far = all(host.region != self._region for host in there)
        return c.REGION_ROUNDS_LARGE if is_far else c.BRIDGE_ROUNDS_LARGE

    def _is_near(self, host: KnownHost) -> bool:
        return host.failure_domain == self._failure_domain
