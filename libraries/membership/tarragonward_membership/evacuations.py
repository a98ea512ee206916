"""Decide which failure domains are being evacuated, by the operators' orders."""

from __future__ import annotations

from dataclasses import dataclass

from . import const as c

__all__ = ["Evacuation", "EvacuationBegun", "EvacuationEnded", "Evacuations"]


@dataclass(frozen=True)
class EvacuationBegun:
    """The targets of a failure domain get no work from now on."""

    domain: str


@dataclass(frozen=True)
class EvacuationEnded:
    """The targets of a failure domain may get work again, after this many seconds."""

    domain: str
    seconds: float


@dataclass(frozen=True)
class Evacuation:
    """An order in force.

    began_at is when this host learned of it. lost_at is when the source came back from
    a copy without it, None while the source has it.
    """

    domain: str
    began_at: float
    lost_at: float | None = None


class Evacuations:
    """The failure domains that operators have ordered to be evacuated.

    An order is in force while it is published. A source that came back from a copy may
    have lost an order that it had acknowledged: such an order stays in force for
    LOST_EVACUATION_SECONDS, in which operators can publish it again. Otherwise the
    domain would get requests that they believe to be kept away.
    """

    def __init__(self) -> None:
        self._orders: dict[str, Evacuation] = {}

    def __len__(self) -> int:
        """Return the number of orders in force."""
        return len(self._orders)

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains whose targets get no work."""
        return frozenset(self._orders)

    def get_orders(self) -> tuple[Evacuation, ...]:
        """Return the orders in force, by the name of their domain."""
        return tuple(order for _, order in sorted(self._orders.items()))

    def begin(self, domain: str, now: float) -> EvacuationBegun | None:
        """Apply a published order; return None if it is in force or can't be kept."""
        known = self._orders.get(domain)
        if known is not None:
            self._orders[domain] = Evacuation(domain, known.began_at)
            return None
        if len(self._orders) >= c.MAX_EVACUATIONS:
            return None
        self._orders[domain] = Evacuation(domain, now)
        return EvacuationBegun(domain)

    def end(
        self, domain: str, now: float, is_restored: bool = False
    ) -> EvacuationEnded | None:
        """Apply the withdrawal of an order; return None if it stays in force.

        is_restored: the source came back from a copy that lacks the order.
        """
        order = self._orders.get(domain)
        if order is None:
            return None
        if is_restored:
            self._orders[domain] = Evacuation(domain, order.began_at, now)
            return None
        del self._orders[domain]
        return EvacuationEnded(domain, now - order.began_at)

    def end_lost(self, now: float) -> list[EvacuationEnded]:
        """End the orders that the source lost and nobody has published again."""
        limit = now - c.LOST_EVACUATION_SECONDS
        lost = [
            order.domain
            for order in self._orders.values()
            if order.lost_at is not None and order.lost_at <= limit
        ]
        ended = [self.end(domain, now) for domain in lost]
        return [each for each in ended if each is not None]
