"""Decide whether a send goes to its target directly or through a peer."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator, Sequence
from contextlib import contextmanager
from typing import TypeVar

from tarragonward_core import Address
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Evidence, TargetHealthTracker
from tarragonward_wire import Connector

from .choices import SendChoice
from .clock import read_clock

__all__ = ["TargetPaths"]

Target = TypeVar("Target", bound=RegisteredTarget)
# Returns what connects to a target through a peer in one of the regions, in any if
# there are none, and tells which peer it was.
ConnectorBuilder = Callable[
    [RegisteredTarget, Callable[[Address], None] | None, frozenset[str] | None],
    Connector,
]


class TargetPaths:
    """Direct connections where a target takes them, else one through a peer.

    A host that can't connect to any target of a request may have lost its own links
    only, while its peers have theirs. What requests show through a peer is kept apart
    from what this host's own connections show: the one says that a target has ended,
    the other perhaps that a link has.
    """

    def __init__(self, direct: TargetHealthTracker) -> None:
        self._direct = direct
        self._relayed = TargetHealthTracker(has_probes=False)
        # Sends in progress, and what to call when their path is lost.
        self._watched: list[tuple[SendChoice, Callable[[], None]]] = []
        # Whether a peer may relay to a service, and whether one has done so recently.
        self.may_relay: Callable[[str], bool] = lambda service: False
        self.has_proven_relay: Callable[[str], bool] = lambda service: False
        # Starts to look for a peer that can relay to a service.
        self.prove_relay: Callable[[str], None] = lambda service: None
        # Connects to a target in the background, to see whether its link is lost.
        self.check: Callable[[RegisteredTarget], None] = lambda target: None
        # Whether a peer has not answered lately.
        self.is_lost_relay: Callable[[Address], bool] = lambda peer: False
        self.build_connector: ConnectorBuilder | None = None

    def select(self, targets: Sequence[Target], now: float) -> Sequence[Target]:
        """Return the targets with the best health over their paths."""
        selected = self._direct.select(targets, now)
        if not selected or not all(map(self._direct.is_disconnected, selected)):
            return selected
        lost = [target for target in targets if self._direct.is_disconnected(target)]
        if not self.may_relay(selected[0].service):
            return selected
        return self._relayed.select(lost, now)

    def must_relay(self, target: RegisteredTarget) -> bool:
        """Return whether a send to a target goes through a peer."""
        return self._direct.is_disconnected(target) and self.may_relay(target.service)

    def get_connector(self, choice: SendChoice) -> Connector | None:
        """Return the connector of a send through a peer, None for a direct one."""
        if not choice.is_relayed or self.build_connector is None:
            return None
        return self.build_connector(choice.target, choice.record_relay, choice.homes)

    def get_order_connector(self, target: RegisteredTarget) -> Connector | None:
        """Return the connector of an order through a peer, None for a direct one."""
        if self.build_connector is None or not self.must_relay(target):
            return None
        return self.build_connector(target, None, None)

    def has_lost_link(self, choice: SendChoice) -> bool:
        """Return whether a send may hang on a link, or a peer, that is lost by now."""
        if choice.is_relayed:
            return choice.relay is not None and self.is_lost_relay(choice.relay)
        return self._direct.has_lost_link(choice.target)

    @contextmanager
    def watch_link(
        self, choice: SendChoice, on_lost: Callable[[], None]
    ) -> Iterator[None]:
        """Call on_lost if the link of a send, or the peer it goes through, is lost."""
        watched = (choice, on_lost)
        self._watched.append(watched)
        try:
            yield
        finally:
            self._watched.remove(watched)

    def notify_lost(self, domain: str, service: str) -> None:
        """Notify the direct sends to a domain whose link appears to be lost.

        The targets that this host has not tried to connect to lately are checked first.
        """
        for choice, on_lost in list(self._watched):
            group = choice.target.failure_domain, choice.target.service
            if choice.is_relayed or group != (domain, service):
                continue
            if self._direct.has_lost_link(choice.target):
                on_lost()
            else:
                self.check(choice.target)

    def notify_target_lost(self, target: RegisteredTarget) -> None:
        """Notify the direct sends to a target that its link is lost."""
        if not self._direct.has_lost_link(target):
            return
        for choice, on_lost in list(self._watched):
            if not choice.is_relayed and choice.target.id == target.id:
                on_lost()

    def notify_relay_lost(self, peer: Address) -> None:
        """Notify the sends through a peer that it does not answer."""
        for choice, on_lost in list(self._watched):
            if choice.relay == peer:
                on_lost()

    def is_ready(self, target: RegisteredTarget) -> bool:
        """Return whether a request in progress elsewhere may count on a target."""
        if not self._direct.is_ejected(target):
            return True
        if not self.must_relay(target) or self._relayed.is_ejected(target):
            return False
        if self.has_proven_relay(target.service):
            return True
        self.prove_relay(target.service)
        return False

    def start_trial(self, target: RegisteredTarget, is_relayed: bool) -> None:
        """Keep other requests off an ejected target while one request tries it."""
        health = self._relayed if is_relayed else self._direct
        health.start_trial(target, read_clock())

    def record(self, target: RegisteredTarget, evidence: Evidence) -> None:
        """Record what a connection through a peer has shown of a target."""
        self._relayed.observe(target, evidence, read_clock())

    def retain_only(self, registered: Collection[RegisteredTarget]) -> None:
        """Forget what is no longer registered."""
        self._relayed.retain_only(registered)
