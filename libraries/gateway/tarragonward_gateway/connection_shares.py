"""Keep a host within its share of its targets' connections."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from tarragonward_membership import RegisteredTarget

from . import const as c
from .state import GatewayState
from .statements import TargetStatements

__all__ = ["ConnectionShares"]


class ConnectionShares:
    """Selects the targets that may get one more connection of this host.

    A target resets connections beyond its limit for all hosts together, and requests on
    such connections are lost although they may have run. Each send uses a connection,
    so a host that stays within its share sees no reset. in_flight has the connections
    of this host by target id.
    """

    def __init__(
        self,
        state: GatewayState,
        statements: TargetStatements,
        in_flight: Mapping[str, int],
    ) -> None:
        self._state = state
        self._statements = statements
        self._in_flight = in_flight

    def select(self, targets: Sequence[RegisteredTarget]) -> list[RegisteredTarget]:
        """Return the targets with a connection of the host's share, else of others'.

        A host that most callers connect to uses up its share, while the other hosts
        leave most of theirs unused.
        """
        return list(filter(self._has_own, targets)) or list(
            filter(self._may_borrow, targets)
        )

    def _has_own(self, target: RegisteredTarget) -> bool:
        limit = self._state.get_connection_limit(target.service)
        return limit is None or self._in_flight[target.id] < limit

    def _may_borrow(self, target: RegisteredTarget) -> bool:
        # A target without a queue has few requests of all hosts together.
        limit = self._state.get_shared_connection_limit(target.service)
        return (
            limit is not None
            and self._statements.has_no_queue(target)
            and self._in_flight[target.id] < limit // c.BORROWED_CONNECTIONS_DIVISOR
        )
