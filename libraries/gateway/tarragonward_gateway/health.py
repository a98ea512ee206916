"""Answer the balancer's health checks."""

from __future__ import annotations

from tarragonward_core import ResultCode
from tarragonward_wire import HttpRequest, Responder

from .state import GatewayState

__all__ = ["HealthRoutes"]

STATUS_OK = 200


class HealthRoutes:
    """Serve the single path of the health address."""

    def __init__(self, state: GatewayState) -> None:
        self._state = state

    @property
    def is_ready(self) -> bool:
        """Return whether the host has a table and targets and is not draining."""
        state = self._state
        return (
            state.table is not None
            and len(state.registry) > 0
            and (not state.is_draining)
        )

    async def async_handle(self, request: HttpRequest, responder: Responder) -> None:
        """Answer 200 while ready, 503 otherwise."""
        if request.path != self._state.paths.health:
            await responder.async_send_error(ResultCode.UNKNOWN_ROUTE)
        elif self.is_ready:
            await responder.async_send_json(STATUS_OK, {"ready": True})
        else:
            await responder.async_send_error(ResultCode.NOT_READY)
