"""Inject random faults of hosts and links into the crash and limit runs."""

from __future__ import annotations

from collections.abc import Callable

from .host import GossipFleet, GossipHost

__all__ = ["FaultInjector"]

FAULT_INTERVAL_SECONDS = (0.5, 4.0)
PARTITION_SECONDS = (1.0, 5.0)
PAUSE_SECONDS = (0.5, 3.0)
RESTART_SECONDS = (0.2, 1.5)
HOST_SHARES = (0.1, 0.34, 1.0)


class FaultInjector:
    """Injects random kills, pauses and partitions, which may overlap, until a time."""

    def __init__(
        self, fleet: GossipFleet, start_host: Callable[[int], GossipHost], until: float
    ) -> None:
        self._fleet, self._world = fleet, fleet.world
        self._random = fleet.world.random
        self._start_host = start_host
        self._until = until
        self._faults = (
            self._kill_hosts,
            self._pause_hosts,
            self._partition_domain,
            self._isolate_hosts,
        )

    def begin(self) -> None:
        """Schedule the next fault; each fault schedules the one after it."""
        self._world.schedule_after(
            self._random.uniform(*FAULT_INTERVAL_SECONDS), self._inject
        )

    def _inject(self) -> None:
        if self._world.now >= self._until:
            return
        self._random.choice(self._faults)()
        self.begin()

    def _select_hosts(self) -> list[GossipHost]:
        alive = [host for host in self._fleet.hosts.values() if not host.is_dead]
        count = max(1, int(len(alive) * self._random.choice(HOST_SHARES)))
        return self._random.sample(alive, min(count, len(alive)))

    def _kill_hosts(self) -> None:
        for host in self._select_hosts():
            host.is_dead = True
            host.disturbed_until = float("inf")
            delay = self._random.uniform(*RESTART_SECONDS)
            self._world.schedule_after(
                delay, lambda number=host.number: self._start_host(number)
            )

    def _pause_hosts(self) -> None:
        for host in self._select_hosts():
            host.pause(self._random.uniform(*PAUSE_SECONDS))

    def _partition_domain(self) -> None:
        links = self._fleet.links
        if links.partition:
            return
        domain = f"domain-{self._random.randrange(self._fleet.domains)}"
        hosts = [h for h in self._fleet.hosts.values() if h.domain == domain]
        links.partition = frozenset(host.number for host in hosts)
        self._world.schedule_after(
            self._random.uniform(*PARTITION_SECONDS), self._heal_domain
        )

    def _heal_domain(self) -> None:
        # A partition disturbs the hosts on both sides.
        self._fleet.links.partition = frozenset()
        for host in self._fleet.hosts.values():
            host.disturbed_until = max(host.disturbed_until, self._world.now)

    def _isolate_hosts(self) -> None:
        numbers = {host.number for host in self._select_hosts()}
        self._fleet.links.isolated_hosts |= numbers
        delay = self._random.uniform(*PARTITION_SECONDS)
        self._world.schedule_after(delay, lambda: self._heal_hosts(numbers))

    def _heal_hosts(self, numbers: set[int]) -> None:
        self._fleet.links.isolated_hosts -= numbers
        for host in self._fleet.hosts.values():
            if host.number in numbers:
                host.disturbed_until = max(host.disturbed_until, self._world.now)
