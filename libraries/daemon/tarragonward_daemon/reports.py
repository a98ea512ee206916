"""Read the load reports of watched engines, and build placement's view of all."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tarragonward_config import Target
from tarragonward_core import BackgroundTasks, TargetError
from tarragonward_membership import OTHER_ACCOUNTS, LoadReport
from tarragonward_placement import (
    DEFAULT_PREFILL_TOKENS_PER_SECOND,
    FIRST_LONG_PRIORITY,
    EngineView,
    FleetView,
)
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState
from .membership import MembershipTask

__all__ = ["ReportTask", "build_fleet_view"]


class ReportTask:
    """Read load reports.

    Each engine is read by its few watchers in its failure domain; the other hosts get
    the report, with its age, by gossip.
    """

    def __init__(self, host: HostState, membership: MembershipTask) -> None:
        self._host = host
        self._membership = membership
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start to read load reports."""
        self._background.start("reports", self._async_read)

    async def async_unload(self) -> None:
        """Stop reading."""
        await self._background.async_unload()

    def build_views(self, engines: list[Target], now: float) -> list[EngineView]:
        """Return the latest known state of these engines."""
        return [self._build_view(engine, now) for engine in engines]

    def _build_view(self, engine: Target, now: float) -> EngineView:
        report = self._membership.get_load(engine.name)
        if report is None:
            return EngineView(
                name=engine.name,
                kv_tokens=engine.kv_tokens,
                free_kv_tokens=engine.kv_tokens,
                queued_prefill_tokens=0,
                running=0,
                report_age_seconds=c.UNKNOWN_REPORT_AGE_SECONDS,
            )
        return EngineView(
            name=engine.name,
            kv_tokens=engine.kv_tokens,
            free_kv_tokens=min(report.free_kv_tokens, engine.kv_tokens),
            queued_prefill_tokens=report.queued_prefill_tokens,
            running=report.running,
            report_age_seconds=max(now - report.reported_at, 0.0),
            queued_long_tokens=min(
                report.queued_long_tokens, report.queued_prefill_tokens
            ),
            prefill_tokens_per_second=report.prefill_tokens_per_second
            or DEFAULT_PREFILL_TOKENS_PER_SECOND,
        )

    async def _async_read(self) -> None:
        while True:
            state = self._host.configuration_state
            targets = [] if state is None else state.configuration.targets.values()
            watched = [
                target
                for target in targets
                if target.models and self._membership.is_watcher(target.name)
            ]
            await asyncio.gather(*(self._async_read_one(e) for e in watched))
            await asyncio.sleep(self._get_interval() * random.uniform(0.8, 1.2))

    def _get_interval(self) -> float:
        """Return the seconds between reads, longer with more hosts, as for gossip."""
        seconds = (
            self._membership.count_live_hosts() * c.REPORT_INTERVAL_SECONDS_PER_HOST
        )
        return min(
            max(seconds, c.MIN_REPORT_INTERVAL_SECONDS), c.MAX_REPORT_INTERVAL_SECONDS
        )

    async def _async_read_one(self, engine: Target) -> None:
        try:
            answer = await async_send_http(
                engine.address,
                "GET",
                c.ROUTE_LOAD,
                timeout=c.REPORT_TIMEOUT_SECONDS,
                connect=self._host.get_connector(engine),
            )
            report = answer.parse_json()
        except TargetError:
            return
        self._membership.record_load(
            LoadReport(
                target=engine.name,
                free_kv_tokens=int(report.get("free_kv_tokens", engine.kv_tokens)),
                queued_prefill_tokens=int(report.get("queued_prefill_tokens", 0)),
                running=int(report.get("running", 0)),
                reported_at=asyncio.get_running_loop().time(),
                queued_long_tokens=_count_long_tokens(report),
                prefill_tokens_per_second=int(
                    report.get("prefill_tokens_per_second", 0)
                ),
            )
        )


def _count_long_tokens(report: dict[str, Any]) -> int:
    queued = report.get("queued_by_priority", {})
    return sum(
        int(tokens)
        for priority, tokens in queued.items()
        if int(priority) >= FIRST_LONG_PRIORITY
    )


def build_fleet_view(
    host: HostState, membership: MembershipTask, model: str
) -> FleetView:
    """Return this host's view of the other hosts and of all engines of a model."""
    accounts = host.configuration.client_accounts.values()
    weights = {account.name: account.weight for account in accounts}
    # Accounts too small to be sent separately share the weight of all accounts.
    weights[OTHER_ACCOUNTS] = sum(weights.values())
    engines = host.configuration.get_engines(model)
    published_kv_tokens = tuple(engine.kv_tokens for engine in engines)
    listed_hosts = len(membership.membership.get_members()) + 1
    live_hosts = membership.count_live_hosts()
    if live_hosts == 1 and listed_hosts > 1:
        return FleetView(listed_hosts, weights, None, published_kv_tokens)
    return FleetView(live_hosts, weights, membership.get_demand(), published_kv_tokens)
