"""Assemble one host: its tasks, in the order of their dependencies."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, suppress
from typing import Any

from tarragonward_config import Settings
from tarragonward_core import HostIdentity, log_event, new_incarnation
from tarragonward_wire import BodyBudget, HttpLimits, HttpServer, PeerLinks, PeerServer

from . import const as c
from .callers import CallerRoutes
from .calls import ServiceCalls
from .configuration import ConfigurationTask
from .core import HostState
from .engines import Releases
from .membership import MembershipTask
from .models import ModelRequests
from .operators import OperatorRoutes
from .orders import OrderTask
from .peers import PeerMessages
from .reports import ReportTask
from .suspects import SuspectTask
from .sweep import SweepTask
from .target_connections import TargetConnections

__all__ = ["Daemon"]


class Daemon:
    """One entry host; async_run serves until the host is drained or stopped."""

    def __init__(self, settings: Settings) -> None:
        identity = HostIdentity(settings.peers, new_incarnation())
        self.host = HostState(settings, identity)
        self._drain_requested = asyncio.Event()
        self._stop_requested = asyncio.Event()
        self.unfinished_requests = 0
        self._build_tasks()

    def _build_tasks(self) -> None:
        host, settings = self.host, self.host.settings
        self.links = PeerLinks(host.identity, settings.peer_key, host.metrics)
        self.membership = MembershipTask(host)
        self.configuration = ConfigurationTask(host, self.links, self.membership)
        peers = self.configuration.peers
        self.membership.add_peer_ahead_listener(peers.handle_peer_ahead)
        self.orders = OrderTask(host, self.membership, self.configuration)
        self.reports = ReportTask(host, self.membership)
        self.connections = TargetConnections(host, self.membership)
        self.releases = Releases(host)
        self.calls = ServiceCalls(host, self.links, self.membership)
        self.suspects = SuspectTask(host, self.links, self.membership)
        self.models = ModelRequests(
            host, self.reports, self.releases, self.membership, self.suspects
        )
        self.sweep = SweepTask(host, self.models, self.releases, self.membership)
        messages = PeerMessages(
            self.calls, self.configuration.peers, self.membership, self.suspects
        )
        self.peers = PeerServer(
            host.identity,
            settings.peer_key,
            messages.async_handle,
            host.metrics,
            settings.peers_listen,
            self.connections.relays,
        )
        callers = CallerRoutes(host, self.models, self.calls)
        self.callers = HttpServer(
            settings.callers,
            callers.async_handle,
            self._build_limits(),
            check_head=callers.check_head,
            translate_refusal=callers.translate_refusal,
            on_refused=callers.log_refused,
            bodies=BodyBudget(settings.limits.max_bodies_bytes),
        )
        host.metrics.add_gauge(
            "bodies_held_bytes",
            "Request bodies held in memory, in bytes.",
            lambda: self.callers.bodies.held_bytes,
        )
        operators = OperatorRoutes(
            host, self.membership, self.reports, self.request_drain
        )
        self.operators = HttpServer(
            settings.operators,
            operators.async_handle,
            HttpLimits(
                max_body_bytes=c.OPERATORS_MAX_BODY_BYTES,
                max_connections=c.OPERATORS_MAX_CONNECTIONS,
            ),
            check_head=operators.check_head,
        )

    def _build_limits(self) -> HttpLimits:
        limits = self.host.settings.limits
        return HttpLimits(
            max_head_bytes=limits.max_head_bytes,
            max_body_bytes=limits.max_body_bytes,
            max_connections=limits.max_connections,
            head_timeout=limits.sender_timeout_seconds,
            body_timeout=limits.sender_timeout_seconds,
        )

    def request_drain(self) -> None:
        """Start a graceful shutdown; a second call ends the drain at once."""
        if self._drain_requested.is_set():
            self._stop_requested.set()
        self._drain_requested.set()

    async def async_run(self) -> None:
        """Serve until drained or stopped."""
        async with AsyncExitStack() as stack:
            for component in self._get_components():
                await component.async_setup()
                stack.push_async_callback(component.async_unload)
            stack.push_async_callback(self.links.async_unload)
            log_event("host_started", identity=self.host.identity)
            await self._drain_requested.wait()
            await self._async_drain()
        log_event("host_stopped", identity=self.host.identity)

    def _get_components(self) -> list[Any]:
        return [
            self.configuration,
            self.membership,
            self.connections,
            self.orders,
            self.reports,
            self.releases,
            self.calls,
            self.suspects,
            self.models,
            self.sweep,
            self.peers,
            self.callers,
            # Started last: if the health check passed before the callers' port
            # listens, the balancer would send to a host that refuses connections.
            self.operators,
        ]

    async def _async_drain(self) -> None:
        """Wait until all requests in progress have ended, at most the drain timeout."""
        self.membership.set_leaving()
        log_event("drain_started", in_flight=self.host.requests_in_flight)
        stopped = asyncio.create_task(self._stop_requested.wait())
        drained = asyncio.create_task(self._async_wait_idle())
        timeout = self.host.settings.limits.drain_timeout_seconds
        await asyncio.wait(
            {stopped, drained},
            timeout=timeout,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in (stopped, drained):
            task.cancel()
        self.unfinished_requests = self.host.requests_in_flight
        log_event("drain_ended", in_flight=self.unfinished_requests)
        await self._async_stop_requests()

    async def _async_wait_idle(self) -> None:
        # The balancer keeps sending requests until it has seen the health check fail;
        # refusing them earlier gives callers errors at each replacement of a host. New
        # work is therefore admitted until a failed check was answered, and on while
        # callers still come. The wait for a check has a timeout.
        self.host.is_draining = True
        with suppress(TimeoutError):
            async with asyncio.timeout(c.MAX_HEALTH_CHECK_WAIT_SECONDS):
                await self.host.unhealthy_reported.wait()
        log_event(
            "failed_check_answered", is_answered=self.host.unhealthy_reported.is_set()
        )
        await self._async_wait_for_last_caller()
        self.host.is_admitting = False
        log_event("admission_ended", in_flight=self.host.requests_in_flight)
        self.calls.start_drain()
        self.callers.disable_keep_alive()
        # A request counts from its head on: one whose body is still being received
        # gets a result code instead of a closed connection.
        await self.callers.async_wait_idle()
        while self.host.requests_in_flight:
            await self.host.idle.wait()
        await self.connections.relays.async_wait_idle()

    async def _async_wait_for_last_caller(self) -> None:
        """Wait until no caller has connected for a while, at most a fixed time.

        A balancer may act on the failed check later than expected. As long as it still
        sends callers, a host that refused them would cost each of them an error.
        """
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        while True:
            last_at = max(begun_at, self.callers.last_accepted_at)
            wait_until = min(
                last_at + c.BALANCER_NOTICE_SECONDS,
                begun_at + c.MAX_BALANCER_NOTICE_SECONDS,
            )
            if loop.time() >= wait_until:
                return
            await asyncio.sleep(wait_until - loop.time())

    async def _async_stop_requests(self) -> None:
        """Answer the requests still in progress before their connections are closed."""
        self.host.is_draining, self.host.is_admitting = True, False
        self.models.stop_all()
        with suppress(TimeoutError):
            async with asyncio.timeout(c.STOP_TIMEOUT_SECONDS):
                while self.host.requests_in_flight:
                    await self.host.idle.wait()
