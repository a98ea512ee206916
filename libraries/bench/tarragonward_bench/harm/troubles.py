"""Draw the troubles of hosts and links in the runs of harm."""

from __future__ import annotations

from collections.abc import Callable

from .host import HarmFleet, HarmHost

__all__ = ["HostTroubles"]

GAP_SECONDS = (0.5, 4.0)
CUT_SECONDS = (1.0, 5.0)
FREEZE_SECONDS = (0.5, 3.0)
RESTART_SECONDS = (0.2, 1.5)
SHARES = (0.1, 0.34, 1.0)


class HostTroubles:
    """Kills, restarts, freezes and cuts, in series and overlapping, by the seed."""

    def __init__(
        self, fleet: HarmFleet, make_host: Callable[[int], HarmHost], until: float
    ) -> None:
        self._fleet, self._world = fleet, fleet.world
        self._random = fleet.world.random
        self._make_host = make_host
        self._until = until
        self._kinds = (self._kill, self._freeze, self._cut_domain, self._cut_hosts)

    def begin(self) -> None:
        """Draw the first trouble; each draws the next."""
        self._world.after(self._random.uniform(*GAP_SECONDS), self._draw)

    def _draw(self) -> None:
        if self._world.now >= self._until:
            return
        self._random.choice(self._kinds)()
        self.begin()

    def _pick(self) -> list[HarmHost]:
        alive = [host for host in self._fleet.hosts.values() if not host.is_dead]
        count = max(1, int(len(alive) * self._random.choice(SHARES)))
        return self._random.sample(alive, min(count, len(alive)))

    def _kill(self) -> None:
        for host in self._pick():
            host.is_dead = True
            host.troubled_until = float("inf")
            wait = self._random.uniform(*RESTART_SECONDS)
            self._world.after(wait, lambda number=host.number: self._make_host(number))

    def _freeze(self) -> None:
        for host in self._pick():
            host.freeze(self._random.uniform(*FREEZE_SECONDS))

    def _cut_domain(self) -> None:
        links = self._fleet.links
        if links.side:
            return
        domain = f"domain-{self._random.randrange(self._fleet.domains)}"
        hosts = [h for h in self._fleet.hosts.values() if h.domain == domain]
        links.side = frozenset(host.number for host in hosts)
        self._world.after(self._random.uniform(*CUT_SECONDS), self._heal_domain)

    def _heal_domain(self) -> None:
        # A cut troubles the hosts of both sides.
        self._fleet.links.side = frozenset()
        for host in self._fleet.hosts.values():
            host.troubled_until = max(host.troubled_until, self._world.now)

    def _cut_hosts(self) -> None:
        cut = {host.number for host in self._pick()}
        self._fleet.links.alone |= cut
        wait = self._random.uniform(*CUT_SECONDS)
        self._world.after(wait, lambda: self._heal_hosts(cut))

    def _heal_hosts(self, cut: set[int]) -> None:
        self._fleet.links.alone -= cut
        for host in self._fleet.hosts.values():
            if host.number in cut:
                host.troubled_until = max(host.troubled_until, self._world.now)
