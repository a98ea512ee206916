"""Keep work off the failure domains that operators have ordered to be evacuated."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from tarragonward_core import BackgroundTasks, log_event
from tarragonward_membership import (
    EvacuationBegun,
    EvacuationEnded,
    Evacuations,
)

from .. import const as c
from ..clock import read_clock
from ..ports import Record, RecordParser
from ..state import GatewayState

__all__ = ["EvacuationTask"]

TASK_NAME = "evacuations"
CountInFlight = Callable[[], Counter[str]]


class EvacuationTask:
    """Applies the published orders to the registry, and reports what is left.

    Orders are published records like all others: they come from the source, or from
    peers that have read it, and a host that is cut off acts by the last that it knew.
    Requests in progress end where they are; the registry offers no target of the domain
    to new sends, repeats, resumed streams, helper parts, relays or probes.
    """

    def __init__(
        self, state: GatewayState, parser: RecordParser, count_in_flight: CountInFlight
    ) -> None:
        self._state = state
        self._parser = parser
        self._count_in_flight = count_in_flight
        self._orders = Evacuations()
        self._background = BackgroundTasks(state.metrics)
        # Called with a failure domain that may get work again.
        self.on_ended: list[Callable[[str], None]] = []
        add_gauge = state.metrics.add_gauge
        add_gauge(
            "domains_evacuated",
            "failure domains that operators want to get no work",
            lambda: len(self._orders),
        )
        add_gauge(
            "evacuated_requests",
            "requests of this host still in progress in evacuated failure domains",
            self._count_left,
        )

    async def async_setup(self) -> None:
        """Start to end the orders that the source has lost."""
        self._background.start(TASK_NAME, self._async_end_lost)

    async def async_unload(self) -> None:
        """Stop."""
        await self._background.async_unload()

    def apply_records(self, records: Sequence[Record], is_restored: bool) -> None:
        """Apply the orders among new records, and their withdrawals."""
        for record in records:
            domain = self._parser.get_evacuated_domain(record.key)
            if domain is not None:
                self._apply(domain, record, is_restored)

    def describe(self) -> list[dict[str, Any]]:
        """Return the orders in force, for operators."""
        now, left = read_clock(), self._count_in_flight()
        return [
            {
                "failure_domain": order.domain,
                "seconds": round(now - order.began_at, 1),
                "requests_left": left[order.domain],
                "is_published": order.lost_at is None,
                "targets": self._count_targets(order.domain),
            }
            for order in self._orders.get_orders()
        ]

    def _apply(self, domain: str, record: Record, is_restored: bool) -> None:
        now = read_clock()
        if record.value is not None:
            # Whatever its value, the order stands for as long as it is published.
            self._handle_begun(self._orders.begin(domain, now))
            if domain not in self._orders.domains:
                self._state.metrics.count("evacuations_refused")
                log_event("evacuation_refused", domain=domain)
            return
        self._handle_ended(self._orders.end(domain, now, is_restored))
        if domain in self._orders.domains:
            log_event("evacuation_unpublished", domain=domain)

    async def _async_end_lost(self) -> None:
        while True:
            await asyncio.sleep(c.LOST_EVACUATION_CHECK_SECONDS)
            for ended in self._orders.end_lost(read_clock()):
                self._handle_ended(ended)

    def _handle_begun(self, begun: EvacuationBegun | None) -> None:
        if begun is None:
            return
        self._state.registry.set_evacuated(self._orders.domains)
        log_event(
            "evacuation_begun",
            domain=begun.domain,
            targets=self._count_targets(begun.domain),
            requests_left=self._count_in_flight()[begun.domain],
        )

    def _handle_ended(self, ended: EvacuationEnded | None) -> None:
        if ended is None:
            return
        for notify in self.on_ended:
            notify(ended.domain)
        self._state.registry.set_evacuated(self._orders.domains)
        log_event(
            "evacuation_ended",
            domain=ended.domain,
            seconds=ended.seconds,
            targets=self._count_targets(ended.domain),
        )

    def _count_left(self) -> int:
        if not len(self._orders):
            return 0
        left = self._count_in_flight()
        return sum(left[domain] for domain in self._orders.domains)

    def _count_targets(self, domain: str) -> int:
        registered = self._state.registry.get_all()
        return sum(target.failure_domain == domain for target in registered)
