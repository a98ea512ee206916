"""Choose the target of a send, and count what this host has in flight on each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from tarragonward_membership import RegisteredTarget

from .state import GatewayState

__all__ = ["TargetChooser"]


class TargetChooser:
    """The least busy ready target of a service, by this host's own requests."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state
        self._in_flight: Counter[str] = Counter()

    def choose(self, service: str, tried: set[str]) -> RegisteredTarget | None:
        """Return a target that has not had the request, or None."""
        ready = [
            target
            for target in self._state.registry.get_ready(service)
            if target.id not in tried and self._has_connection(target)
        ]
        if not ready:
            return None
        random = self._state.random.random
        return min(ready, key=lambda t: (self._in_flight[t.id], random()))

    def _has_connection(self, target: RegisteredTarget) -> bool:
        # A target resets connections beyond those that it takes from all hosts
        # together. Symptom: a request is lost, and may have run. Each send has one
        # connection, so a host that keeps to its part of them meets no reset.
        limit = self._state.get_connection_share(target.service)
        return limit is None or self._in_flight[target.id] < limit

    @contextmanager
    def hold(self, target: RegisteredTarget) -> Iterator[None]:
        """Count a request on a target until it ends."""
        self._in_flight[target.id] += 1
        try:
            yield
        finally:
            self._in_flight[target.id] -= 1
            if not self._in_flight[target.id]:
                del self._in_flight[target.id]
