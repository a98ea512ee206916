"""Report the services of which this host can connect to no target."""

from __future__ import annotations

from collections.abc import Callable

from tarragonward_core import log_event
from tarragonward_placement import TargetHealthTracker

from .clock import read_clock
from .state import GatewayState

__all__ = ["ReachabilityMonitor"]


class ReachabilityMonitor:
    """Logs when the last target of a service is out of reach, and when one is back.

    The log tells a host that has lost its links from targets that have ended: other
    hosts report the same service only in the second case.
    """

    def __init__(self, state: GatewayState, target_health: TargetHealthTracker) -> None:
        self._state = state
        self._target_health = target_health
        self._unreachable_since: dict[str, float] = {}
        # Returns the number of other hosts that were heard recently.
        self.count_peers: Callable[[], int] = lambda: 0
        # Called with the name of a service when its last target is out of reach.
        self.on_lost: list[Callable[[str], None]] = []

    @property
    def unreachable_count(self) -> int:
        """Return the number of services without a reachable target."""
        return len(self._unreachable_since)

    def count_disconnected(self, service: str) -> int:
        """Return how many ready targets of a service this host can't connect to."""
        ready = self._state.registry.get_ready(service)
        return sum(map(self._target_health.is_disconnected, ready))

    def update(self, service: str) -> None:
        """Log a change of whether any target of a service can be connected to."""
        ready = len(self._state.registry.get_ready(service))
        is_unreachable = 0 < ready == self.count_disconnected(service)
        if is_unreachable == (service in self._unreachable_since):
            return
        now = read_clock()
        if is_unreachable:
            self._unreachable_since[service] = now
            self._state.metrics.count("services_lost")
            log_event(
                "service_unreachable",
                service=service,
                targets=ready,
                peers=self.count_peers(),
            )
            for notify in self.on_lost:
                notify(service)
        else:
            seconds = now - self._unreachable_since.pop(service)
            log_event("service_reachable", service=service, seconds=seconds)
