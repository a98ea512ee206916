"""Serve metrics and suspects to the operators, and report dropped log lines."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging

from tarragonward_core import (
    BackgroundTasks,
    LineBudget,
    ResultCode,
    event_log,
    invariants,
    log_event,
)
from tarragonward_placement import TargetHealthTracker
from tarragonward_wire import HttpRequest, HttpServer, Responder

from . import const as c
from .clock import read_clock
from .revisions import get_epoch, get_number
from .state import GatewayState
from .suspects import SuspectMonitor

__all__ = ["OperatorsTask", "build_log_budget"]

STATUS_OK = 200
METHOD_DELETE = "DELETE"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
DROPPED_LINES_REPORT_SECONDS = 1.0
TASK_NAME = "log"


def build_log_budget(lines_per_second: float) -> LineBudget:
    """Return the rate limit of a host's log."""
    return LineBudget(lines_per_second, c.LOG_BURST_LINES)


class OperatorsTask:
    """The metrics server, if the settings name its address, and the log's drop count.

    `GET /evacuations` lists the failure domains that get no work by operators' orders.
    `GET /suspects` lists the requests during which targets crashed; `DELETE` of one, by
    its fingerprint, allows all hosts to send it again.

    If the address cannot be bound, the error is logged and the host serves without it:
    a fault of operators' tools must not affect callers.
    """

    def __init__(
        self,
        state: GatewayState,
        target_health: TargetHealthTracker,
        suspects: SuspectMonitor,
    ) -> None:
        self._state = state
        self._suspects = suspects
        # Returns the orders to evacuate failure domains.
        self.describe_evacuations: Callable[[], list[dict[str, Any]]] = list
        address = state.settings.metrics
        self._server = HttpServer(address, self._async_handle) if address else None
        self._background = BackgroundTasks(state.metrics)
        _add_gauges(state)
        state.metrics.add_gauge(
            "targets_resting",
            "in doubt and left out",
            lambda: target_health.ejected_count,
        )
        state.metrics.add_gauge(
            "domains_resting",
            "no link to them",
            lambda: target_health.ejected_domain_count,
        )
        state.metrics.add_gauge(
            "suspects",
            "requests that targets ended under",
            lambda: len(suspects.tracker),
        )

    @property
    def server(self) -> HttpServer | None:
        """Return the server of the metrics address."""
        return self._server

    async def async_setup(self) -> None:
        """Start the server and the reports of dropped lines."""
        self._background.start(TASK_NAME, self._async_report_dropped_lines)
        if self._server is None:
            return
        try:
            await self._server.async_setup()
        except OSError as err:
            log_event("metrics_unserved", level=logging.ERROR, error=str(err))
            self._server = None

    async def async_unload(self) -> None:
        """Stop the server and the reports."""
        await self._background.async_unload()
        if self._server is not None:
            await self._server.async_unload()

    async def _async_report_dropped_lines(self) -> None:
        while True:
            await asyncio.sleep(DROPPED_LINES_REPORT_SECONDS)
            event_log.report_dropped()

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == c.ROUTE_METRICS:
            body = self._state.metrics.write_exposition()
            await responder.async_send_bytes(STATUS_OK, body, (CONTENT_TYPE,))
        elif request.path == c.ROUTE_EVACUATIONS:
            await responder.async_send_json(STATUS_OK, self.describe_evacuations())
        elif request.path == c.ROUTE_SUSPECTS:
            await responder.async_send_json(STATUS_OK, self._suspects.describe())
        elif request.method == METHOD_DELETE and self._lift_suspect(request.path):
            await responder.async_send_json(STATUS_OK, {})
        else:
            await responder.async_send_error(ResultCode.UNKNOWN_ROUTE)

    def _lift_suspect(self, path: str) -> bool:
        """Allow a suspect request to be sent again; return whether it was known."""
        route, _, name = path.rpartition("/")
        if route != c.ROUTE_SUSPECTS:
            return False
        try:
            return self._suspects.clear(bytes.fromhex(name))
        except ValueError:
            return False


def _add_gauges(state: GatewayState) -> None:
    add = state.metrics.add_gauge
    add("targets", "targets registered", lambda: len(state.registry))
    registry = state.registry
    add("targets_revision", "newest revision", lambda: get_number(registry.revision))
    add("source_epoch", "restorations of it", lambda: get_epoch(registry.revision))
    add(
        "table_version",
        "routing table in force; -1 before the first",
        lambda: state.table.version if state.table else -1,
    )
    add(
        "table_confirmed_age_seconds",
        "since the source last confirmed what is in force",
        lambda: read_clock() - state.table_confirmed_at,
    )
    add(
        "repeats_left",
        "ordinary repeats that fit now, of the service with the least room",
        lambda: state.budget.count_remaining(state.count_sharing_hosts(), read_clock()),
    )
    add("draining", "1 while the host leaves", lambda: int(state.is_draining))
    add("log_lines_dropped", "not within the budget", lambda: event_log.dropped)
    add("invariant_violations", "faults of the program", lambda: invariants.count)
