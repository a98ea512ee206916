"""The hosts that a simulated host knows, as the product refreshes them."""

from __future__ import annotations

from tarragonward_gateway import const as gateway_const
from tarragonward_placement import HostView

from .host import GossipHost

__all__ = ["HostViewCache"]


class HostViewCache:
    """Builds a host's view of the others, at most once an interval."""

    def __init__(self, host: GossipHost) -> None:
        self._host = host
        self._view: HostView | None = None
        self._built_at = float("-inf")

    def get(self, is_starting: bool = False) -> HostView:
        """Return the view; is_starting is that of its next refresh."""
        now = self._host.world.now
        interval = gateway_const.HOST_VIEW_REFRESH_SECONDS
        if self._view is None or now - self._built_at >= interval:
            members = self._host.members
            known = members.get_known_addresses(now)
            most = max(len(known), members.get_max_known_host_count(now))
            names = frozenset(map(str, known))
            own = str(self._host.address)
            self._view = HostView(own, names, most, is_starting)
            self._built_at = now
        return self._view
