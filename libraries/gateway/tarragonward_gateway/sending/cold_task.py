"""Track which targets are cold, by their entries and answers."""

from __future__ import annotations

import asyncio

from tarragonward_core import BackgroundTasks, log_event
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_placement import ColdBound

from .. import const as c
from ..clock import read_clock
from ..state import GatewayState
from .send_limits import SendLimits

__all__ = ["ColdTargetTask"]

TASK_NAME = "cold_targets"


class ColdTargetTask:
    """Applies what targets publish and state to the limits of cold targets."""

    def __init__(self, state: GatewayState, limits: SendLimits) -> None:
        self._state = state
        self._cold = limits.cold
        self._background = BackgroundTasks(state.metrics)
        self.apply_settings()
        state.metrics.add_gauge(
            "targets_cold", "that have just started", lambda: len(self._cold)
        )

    async def async_setup(self) -> None:
        """Start to forget the targets that are warm or gone."""
        self._background.start(TASK_NAME, self._async_forget_warm)

    async def async_unload(self) -> None:
        """Stop."""
        await self._background.async_unload()

    def apply_settings(self) -> None:
        """Take the bound over from the settings."""
        bounds = self._state.settings.bounds
        self._cold.set_bound(ColdBound(bounds.cold_excess, bounds.cold_slack))

    def record_entry(self, target: RegisteredTarget) -> None:
        """Record a target's new entry in the registry."""
        self._record(target, target.cold_start_remaining_seconds)

    def record_domain_return(self, domain: str) -> None:
        """Take the targets of a failure domain for cold until they publish anew.

        They may have become cold while they had no work, and their entries say so only
        a while later. A first crowd would crash them.
        """
        table = self._state.table
        for target in self._state.registry.get_all():
            service = table.services.get(target.service) if table else None
            if target.failure_domain == domain and service is not None:
                self._record(target, service.cold_seconds)

    def _record(self, target: RegisteredTarget, seconds: float) -> None:
        if self._cold.record(hash_name(target.id), seconds, read_clock()):
            self._state.metrics.count("cold_targets")
            log_event("target_cold", target=target.id, seconds=seconds)

    async def _async_forget_warm(self) -> None:
        while True:
            await asyncio.sleep(c.COLD_EXPIRY_INTERVAL_SECONDS)
            registered = self._state.registry.get_all()
            numbers = {hash_name(target.id) for target in registered}
            self._cold.keep_only(numbers, read_clock())
