"""Assemble one forwarding host, and shut it down in order."""

from __future__ import annotations

import asyncio
import signal
import time
from contextlib import AsyncExitStack, suppress
from pathlib import Path
from typing import Any

from absl import logging

from tarragonward_core import event_log, log_event
from tarragonward_routes import CallerLimits
from tarragonward_wire import HttpLimits, HttpServer, async_bind

from . import const as c
from .cell_gossip import CellGossip
from .cells import CellTracker
from .cooldown_task import CooldownTask
from .failure_domains import EvacuationTask
from .forwarder import Forwarder
from .gate_task import GateTask
from .health import HealthRoutes, ReadinessTask
from .limit_task import LimitTask
from .operators import OperatorsTask
from .peers import Peers
from .ports import HeaderNames, Paths, RecordParser, RecordReader, ReservationClient
from .publications import PublicationTask
from .relays import RelayTask
from .reload import SettingsTask
from .reservations import ReservationTask
from .sending import ColdTargetTask
from .settings import GatewaySettings
from .state import GatewayState
from .suspect_task import SuspectTask
from .targets import SECTION, TargetChooser

__all__ = ["Gateway"]


class Gateway:
    """One entry host; async_run serves until a stop is requested."""

    def __init__(
        self,
        settings: GatewaySettings,
        reader: RecordReader,
        parser: RecordParser,
        reservation_client: ReservationClient,
        headers: HeaderNames | None = None,
        paths: Paths | None = None,
        settings_path: Path | None = None,
    ) -> None:
        self.state = GatewayState(settings, headers or HeaderNames(), paths or Paths())
        self.peers = Peers(self.state)
        self.state.count_sharing_hosts = self.peers.count_sharing_hosts
        self.cells = CellTracker(self.state, self.peers, time.monotonic)
        self.publications = PublicationTask(
            self.state, reader, parser, self.peers, self.cells.get_polling_order
        )
        self.publications.on_table.append(self._apply_limits)
        self.targets = TargetChooser(self.state, time.monotonic)
        self.peers.add_section(
            SECTION, self.targets.build_digest, self.targets.apply_digest
        )
        self.reservations = ReservationTask(self.state, reservation_client)
        reservation_client.on_answer = self.targets.statements.record
        reservation_client.get_connector = self.targets.paths.get_order_connector
        self.relays = RelayTask(self.state, self.targets)
        self.relays.get_peers = self.peers.get_active_addresses
        self.relays.get_hosts = self.peers.get_known_ips
        self.relays.get_domain = self.peers.get_domain
        self.targets.get_cell = self.cells.get
        self.cells.has_cold = self.targets.send_limits.has_cold
        self.cells.is_cold = self.targets.send_limits.is_cold
        self.cell_gossip = CellGossip(self.state, self.peers, self.targets)
        self.forwarder = Forwarder(self.state, self.targets, self.reservations)
        self.callers = HttpServer(
            settings.callers,
            self.forwarder.async_handle,
            _build_limits(CallerLimits()),
            check_head=self.forwarder.check_head,
        )
        self.gate = GateTask(self.state, self.callers)
        self.forwarder.on_outcome.append(self.gate.record_outcome)
        health_routes = HealthRoutes(self.state)
        self.health = HttpServer(settings.health, health_routes.async_handle)
        self.readiness = ReadinessTask(self.state, health_routes)
        self.suspect_task = SuspectTask(self.state, self.peers, self.forwarder.suspects)
        self.limit_task = LimitTask(self.state, self.peers, self.targets)
        self.cooldown_task = CooldownTask(self.state, self.peers, self.targets)
        self.targets.send_limits.get_host_view = self.peers.get_host_view
        self.cold_task = ColdTargetTask(self.state, self.targets.send_limits)
        self.publications.on_target.append(self.cold_task.record_entry)
        self.evacuations = EvacuationTask(
            self.state, parser, self.targets.count_in_flight_by_domain
        )
        self.publications.on_records.append(self.evacuations.apply_records)
        self.evacuations.on_ended.append(self.cold_task.record_domain_return)
        reachability = self.targets.probes.reachability
        reachability.count_peers = lambda: len(self.peers.get_names())
        self.state.metrics.add_gauge(
            "services_unreachable",
            "services without a target that this host can connect to",
            lambda: reachability.unreachable_count,
        )
        self.operators = OperatorsTask(
            self.state, self.targets.target_health, self.forwarder.suspects
        )
        self.operators.describe_evacuations = self.evacuations.describe
        self.settings = SettingsTask(self.state, settings_path)
        self.settings.on_change.append(self._apply_settings)
        self._stop_requested = asyncio.Event()

    def request_stop(self) -> None:
        """Leave the balancer, finish the requests in progress, then stop."""
        self._stop_requested.set()

    async def async_run(self) -> None:
        """Serve until a stop is requested."""
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(_log_loop_exception)
        loop.add_signal_handler(signal.SIGTERM, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.settings.request_reload)
        components = (
            self.operators,
            self.peers,
            self.relays,
            self.publications,
            self.reservations,
            self.targets.probes,
            self.suspect_task,
            self.limit_task,
            self.cold_task,
            self.evacuations,
            self.cooldown_task,
            self.cell_gossip,
            self.gate,
            self.callers,
            self.health,
            self.readiness,
            self.settings,
        )
        async with AsyncExitStack() as stack:
            for component in components:
                await async_bind(component.async_setup, self._stop_requested.is_set)
                stack.push_async_callback(component.async_unload)
            log_event("host_started", callers=self.callers.address)
            await self._stop_requested.wait()
            await self._async_drain()
        log_event("host_stopped")

    def _apply_limits(self) -> None:
        assert self.state.table is not None
        self.callers.limits = _build_limits(self.state.table.limits)

    def _apply_settings(self) -> None:
        self.state.apply_bounds()
        self.peers.apply_settings()
        self.cold_task.apply_settings()
        if event_log.budget is not None:
            bounds = self.state.settings.bounds
            event_log.budget.lines_per_second = bounds.log_lines_per_second

    async def _async_drain(self) -> None:
        """Finish the requests in progress within the grace time of the settings."""
        state = self.state
        state.is_draining = True
        self.peers.set_leaving()
        self.callers.disable_keep_alive()
        log_event("drain_started", in_flight=self.forwarder.in_flight)
        drain_timeout = state.settings.bounds.grace_seconds - c.DRAIN_MARGIN_SECONDS
        with suppress(TimeoutError):
            async with asyncio.timeout(drain_timeout):
                # The balancer sends new connections until it has made two checks.
                await asyncio.sleep(min(c.BALANCER_NOTICE_SECONDS, drain_timeout))
                state.is_admitting = False
                self.callers.close_idle_connections()
                await self.callers.async_wait_idle()
                await self.relays.async_wait_idle()
        log_event("drain_ended", in_flight=self.forwarder.in_flight)


def _build_limits(limits: CallerLimits) -> HttpLimits:
    return HttpLimits(
        max_head_bytes=limits.head_bytes,
        max_body_bytes=limits.body_bytes,
        head_timeout=limits.head_seconds,
        # A body is limited by its size and by the time that a caller may be idle.
        body_timeout=limits.idle_seconds,
        idle_timeout=limits.idle_seconds,
    )


def _log_loop_exception(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    # Called for exceptions that are never awaited, and when a listener runs out of file
    # descriptors. The loop continues; the default handler would write many lines and
    # block until they are read.
    log_event(
        "loop_exception",
        level=logging.ERROR,
        message=context.get("message"),
        error=repr(context.get("exception")),
    )
