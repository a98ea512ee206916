"""Answer the balancer's health checks, and log why the host is not ready."""

from __future__ import annotations

import asyncio
from enum import Enum

from tarragonward_core import BackgroundTasks, ResultCode, log_event
from tarragonward_wire import HttpRequest, Responder

from . import const as c
from .clock import read_clock
from .state import GatewayState

__all__ = ["HealthRoutes", "NotReadyReason", "ReadinessTask"]

STATUS_OK = 200
TASK_NAME = "readiness"


class NotReadyReason(Enum):
    """Why a host takes no new connections."""

    NO_TABLE = "no_table"
    NO_TARGETS = "no_targets"
    DRAINING = "draining"


class HealthRoutes:
    """Serve the single path of the health address."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    @property
    def not_ready_reason(self) -> NotReadyReason | None:
        """Return what the host lacks to be ready, None if it is."""
        state = self._state
        if state.is_draining:
            return NotReadyReason.DRAINING
        if state.table is None:
            return NotReadyReason.NO_TABLE
        return None if len(state.registry) else NotReadyReason.NO_TARGETS

    @property
    def is_ready(self) -> bool:
        """Return whether the host has a table and targets and is not draining."""
        return self.not_ready_reason is None

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer 200 while ready, 503 otherwise."""
        if request.path != self._state.paths.health:
            await responder.async_send_error(ResultCode.UNKNOWN_ROUTE)
        elif self.is_ready:
            await responder.async_send_json(STATUS_OK, {"ready": True})
        else:
            await responder.async_send_error(ResultCode.NOT_READY)


class ReadinessTask:
    """Logs each second why the host is not ready, and when it has become so."""

    def __init__(self, state: GatewayState, health: HealthRoutes) -> None:
        self._state = state
        self._health = health
        self._background = BackgroundTasks(state.metrics)
        self._not_ready_since: float | None = state.started_at
        state.metrics.add_gauge(
            "not_ready_seconds",
            "since the host was ready last, or started; 0 while it is ready",
            self._measure_not_ready_seconds,
        )

    async def async_setup(self) -> None:
        """Start to log."""
        self._background.start(TASK_NAME, self._async_report)

    async def async_unload(self) -> None:
        """Stop."""
        await self._background.async_unload()

    def report(self) -> None:
        """Log a change of the readiness, and the reason while the host is not ready."""
        reason, now = self._health.not_ready_reason, read_clock()
        if reason is not None:
            if self._not_ready_since is None:
                self._not_ready_since = now
            self._state.metrics.count("not_ready_reports", reason.value)
            log_event(
                "host_not_ready",
                reason=reason.value,
                seconds=now - self._not_ready_since,
                targets=len(self._state.registry),
                table_age=self._read_table_age(now),
            )
        elif self._not_ready_since is not None:
            log_event("host_ready", seconds=now - self._not_ready_since)
            self._not_ready_since = None

    def _read_table_age(self, now: float) -> float | None:
        """Return the seconds since the source last confirmed the records, if it has."""
        confirmed_at = self._state.table_confirmed_at
        return now - confirmed_at if confirmed_at > float("-inf") else None

    def _measure_not_ready_seconds(self) -> float:
        since = self._not_ready_since
        return 0.0 if since is None else read_clock() - since

    async def _async_report(self) -> None:
        while True:
            self.report()
            await asyncio.sleep(c.READINESS_REPORT_SECONDS)
