"""Keep this host's cell: the hosts that it tells all, and the engines that it uses."""

from __future__ import annotations

from collections.abc import Callable

from tarragonward_core import Address, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Cell, Located, choose_cell

from . import const as c
from .clock import read_clock
from .peers import Peers
from .polling import KnownHost, PollingOrder, choose_polling_order
from .state import GatewayState

__all__ = ["CellTracker"]


class CellTracker:
    """The cell for each service, worked out anew each so often from who is there."""

    def __init__(
        self, state: GatewayState, peers: Peers, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self._cells: dict[str, tuple[float, Cell]] = {}
        self._place_at = float("-inf")
        self._place = PollingOrder(1, 0)

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
                whole=new.is_whole,
            )
        self._cells[service] = now, new
        if new != cell:
            self._tell_mates()
        return new

    def get_polling_order(self) -> PollingOrder:
        """Return this host's place among those that ask for what is published."""
        now = self._clock()
        if now - self._place_at < c.POLLING_ORDER_REFRESH_SECONDS:
            return self._place
        old, self._place_at = self._place, now
        self._place = choose_polling_order(self._locate_own(), self._list_hosts())
        if self._place.group != old.group:
            self._tell_mates()
        return self._place

    def _tell_mates(self) -> None:
        names = set(self._place.group)
        for _, cell in self._cells.values():
            names |= cell.hosts
        self._peers.set_mates([Address.parse(name) for name in names])

    def _choose(self, service: str) -> Cell:
        hosts = [host.located for host in self._list_hosts()]
        ready = self._state.registry.get_ready(service)
        engines = [_locate(target) for target in ready]
        return choose_cell(self._locate_own(), hosts, engines)

    def _locate_own(self) -> Located:
        settings = self._state.settings
        return Located(str(settings.peers), settings.failure_domain)

    def _list_hosts(self) -> list[KnownHost]:
        now = read_clock()
        # A host is known by others' word before it was heard itself, so by address.
        return [
            KnownHost(
                Located(str(peer.identity.address), peer.failure_domain),
                now - peer.last_seen_at,
            )
            for peer in self._peers.members.get_peers()
            if peer.failure_domain and not peer.is_leaving
        ]


def _locate(target: RegisteredTarget) -> Located:
    return Located(target.id, target.failure_domain)
