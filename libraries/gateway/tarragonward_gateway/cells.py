"""Keep this host's cell: the hosts that it tells all, and the engines that it uses."""

from __future__ import annotations

from collections.abc import Callable

from tarragonward_core import Address, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Cell, Located, choose_cell

from . import const as c
from .peers import Peers
from .state import GatewayState

__all__ = ["CellKeeper"]


class CellKeeper:
    """The cell for each service, worked out anew each so often from who is there."""

    def __init__(
        self, state: GatewayState, peers: Peers, clock: Callable[[], float]
    ) -> None:
        self._state = state
        self._peers = peers
        self._clock = clock
        self._cells: dict[str, tuple[float, Cell]] = {}

    def get(self, service: str) -> Cell:
        """Return this host's cell among the engines of a service."""
        now = self._clock()
        made_at, cell = self._cells.get(service, (float("-inf"), None))
        if cell is not None and now - made_at < c.CELL_SECONDS:
            return cell
        new = self._choose(service)
        if new != cell:
            self._peers.set_mates([Address.parse(name) for name in new.hosts])
            log_event(
                "cell_chosen",
                service=service,
                hosts=len(new.hosts),
                engines=len(new.engines),
                whole=new.is_whole,
            )
        self._cells[service] = now, new
        return new

    def _choose(self, service: str) -> Cell:
        settings = self._state.settings
        own = Located(str(settings.peers), settings.failure_domain)
        # A host is known by others' word before it was heard itself, so by address.
        hosts = [
            Located(str(peer.identity.address), peer.failure_domain)
            for peer in self._peers.members.get_peers()
            if peer.failure_domain and not peer.is_leaving
        ]
        ready = self._state.registry.get_ready(service)
        return choose_cell(own, hosts, [_locate(target) for target in ready])


def _locate(target: RegisteredTarget) -> Located:
    return Located(target.id, target.failure_domain)
