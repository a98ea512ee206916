"""Shed connections that the host can't serve, and report how many."""

from __future__ import annotations

import asyncio

from tarragonward_core import BackgroundTasks, log_event
from tarragonward_wire import HttpServer

from . import const as c
from .connection_gate import ConnectionGate
from .state import GatewayState

__all__ = ["GateTask"]

TASK_NAME = "gate"


class GateTask:
    """Asks the gate for each connection of the callers' server."""

    def __init__(self, state: GatewayState, callers: HttpServer) -> None:
        self.gate = ConnectionGate()
        self._state = state
        self._callers = callers
        self._background = BackgroundTasks(state.metrics)
        self._shed = 0
        callers.may_accept = self._may_accept

    async def async_setup(self) -> None:
        """Start the reports."""
        self._background.start(TASK_NAME, self._async_report)

    async def async_unload(self) -> None:
        """Stop the reports."""
        await self._background.async_unload()

    def record_outcome(self, is_served: bool) -> None:
        """Record whether a request that was read got the answer of a target."""
        self.gate.record_outcome(is_served, asyncio.get_running_loop().time())

    def _may_accept(self) -> bool:
        is_accepted = self.gate.may_accept(
            self._callers.active_requests,
            self._state.random.random(),
            asyncio.get_running_loop().time(),
        )
        if not is_accepted:
            self._shed += 1
            self._state.metrics.count("connections_shed")
        return is_accepted

    async def _async_report(self) -> None:
        while True:
            await asyncio.sleep(c.GATE_REPORT_SECONDS)
            if self._shed:
                log_event("connections_shed", count=self._shed)
                self._shed = 0
