"""Determine this host's cell: the hosts it shares all gossip with, and its engines."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable

from tarragonward_core import Address, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Cell, LocatedMember, choose_cell

from . import const as c
from .clock import read_clock
from .peers import Peers
from .readers import KnownHost, PollingOrder, choose_polling_order
from .state import GatewayState

__all__ = ["CellTracker"]


class CellTracker:
    """Determines the cell for each service, periodically, from the known hosts."""

    def __init__(
        self, state: GatewayState, peers: Peers, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self._cells: dict[str, tuple[float, Cell]] = {}
        self._polling_order_at = float("-inf")
        self._polling_order = PollingOrder(1, 0)
        self.has_cold: Callable[[], bool] = lambda: False
        self.is_cold: Callable[[RegisteredTarget], bool] = lambda target: False

    def get(self, service: str) -> Cell:
        """Return this host's cell among the engines of a service."""
        now = self._clock()
        made_at, cell = self._cells.get(service, (float("-inf"), None))
        if cell is not None and now - made_at < c.CELL_REFRESH_SECONDS:
            return cell
        new = self._choose(service)
        if new != cell:
            log_event(
                "cell_chosen",
                service=service,
                hosts=len(new.hosts),
                engines=len(new.engines),
                whole=new.covers_fleet,
            )
        self._cells[service] = now, new
        if new != cell:
            self._update_cell_peers()
        return new

    def get_polling_order(self) -> PollingOrder:
        """Return this host's position among the hosts that poll the source."""
        now = self._clock()
        if now - self._polling_order_at < c.POLLING_ORDER_REFRESH_SECONDS:
            return self._polling_order
        old, self._polling_order_at = self._polling_order, now
        self._polling_order = choose_polling_order(
            self._get_own_location(), self._list_hosts()
        )
        if self._polling_order.group != old.group:
            self._update_cell_peers()
        return self._polling_order

    def _update_cell_peers(self) -> None:
        names = set(self._polling_order.group)
        for _, cell in self._cells.values():
            names |= cell.hosts
        self._peers.set_cell_peers([Address.parse(name) for name in names])

    def _choose(self, service: str) -> Cell:
        hosts = [host.located for host in self._list_hosts()]
        ready = self._state.registry.get_ready(service)
        engines = [_locate(target) for target in ready]
        cold = self._find_cold_domains(ready)
        return choose_cell(self._get_own_location(), hosts, engines, cold)

    def _find_cold_domains(self, ready: Iterable[RegisteredTarget]) -> set[str]:
        """Return the failure domains in which most of the ready targets are cold."""
        counts: Counter[str] = Counter()
        for target in ready if self.has_cold() else ():
            counts[target.failure_domain] += 1 if self.is_cold(target) else -1
        return {domain for domain, surplus in counts.items() if surplus > 0}

    def _get_own_location(self) -> LocatedMember:
        settings = self._state.settings
        return LocatedMember(str(settings.peers), settings.failure_domain)

    def _list_hosts(self) -> list[KnownHost]:
        now = read_clock()
        # A host is reported by others before it is heard itself, so it is known by its
        # address.
        return [
            KnownHost(
                LocatedMember(str(peer.identity.address), peer.failure_domain),
                now - peer.last_seen_at,
            )
            for peer in self._peers.members.get_peers()
            if peer.failure_domain and not peer.is_leaving
        ]


def _locate(target: RegisteredTarget) -> LocatedMember:
    return LocatedMember(target.id, target.failure_domain)
