"""A run of hosts that send requests to targets amid faults of hosts and links."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..hearing.world import Links, World
from .host import GossipFleet, GossipHost
from .troubles import FaultInjector

__all__ = ["TargetRun"]

WARM_UP_SECONDS = 4.0
DATAGRAM_LOSS_RATE = 0.02


class TargetRun(ABC):
    """Starts the hosts and the faults, and sends the callers' requests to hosts.

    violations describes how a requirement was violated.
    """

    def __init__(
        self, seed: int, hosts: int, domains: int, requests_a_second: float
    ) -> None:
        self.world = World(seed)
        self.random: random.Random = self.world.random
        self.fleet = GossipFleet(self.world, Links(DATAGRAM_LOSS_RATE), domains)
        self.request_count = self.refused_count = 0
        self.violations: list[str] = []
        self._requests_a_second = requests_a_second
        self._until = 0.0
        for number in range(hosts):
            self.start_host(number)
        for host in self.fleet.hosts.values():
            host.learn_all_hosts()

    @abstractmethod
    def build_host(self, number: int) -> GossipHost:
        """Return a new incarnation of a host."""

    @abstractmethod
    def send_request(self, host: GossipHost) -> None:
        """Let a host process a caller's request."""

    def start_host(self, number: int) -> GossipHost:
        """Start a host, or a new incarnation of it."""
        host = self.build_host(number)
        self.fleet.hosts[host.address] = host
        return host

    def begin(self, seconds: float, has_troubles: bool) -> float:
        """Schedule the faults and the requests; return when the requests begin."""
        begin = self.world.now + WARM_UP_SECONDS
        self._until = begin + seconds
        if has_troubles:
            FaultInjector(self.fleet, self.start_host, self._until).begin()
        self.world.schedule_at(begin, self._send_next_request)
        return begin

    def finish(self) -> None:
        """Run to the end; raise AssertionError if a requirement was violated."""
        self.world.run(self._until)
        self.check_end()
        assert not self.violations, "; ".join(self.violations)

    def check_end(self) -> None:
        """Check what can be judged only at the end of the run."""

    def pick_targets(self, targets: Sequence, share: float) -> list:
        """Return a random share of the targets, one at least."""
        return self.random.sample(targets, max(1, int(share * len(targets))))

    def _send_next_request(self) -> None:
        if self.world.now >= self._until:
            return
        self.send_request(self.random.choice(list(self.fleet.hosts.values())))
        delay = self.random.expovariate(self._requests_a_second)
        self.world.schedule_after(delay, self._send_next_request)
