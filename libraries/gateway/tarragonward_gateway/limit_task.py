"""Exchange the rate limits that targets announce with the other hosts."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_core import BackgroundTasks
from tarragonward_membership import hash_name

from . import const as c
from .clock import read_clock
from .limit_gossip import LimitGossip
from .peers import Peers
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["SECTION", "LimitTask"]

SECTION = "limits"
TASK_NAME = "limits"


class LimitTask:
    """Builds and applies the limits section of the hosts' datagrams."""

    def __init__(
        self, state: GatewayState, peers: Peers, chooser: TargetChooser
    ) -> None:
        self._state = state
        self._peers = peers
        self._limits = chooser.limits
        self._background = BackgroundTasks(state.metrics)
        self._gossip = LimitGossip(chooser.limits)
        self._outgoing: list[int] = []
        self._timer: asyncio.TimerHandle | None = None
        chooser.statements.on_limit.append(self._handle_change)
        peers.add_section(SECTION, self._build, self._merge)
        state.metrics.add_gauge(
            "targets_limited", "name a limit", lambda: len(self._limits)
        )

    async def async_setup(self) -> None:
        """Start dropping the limits of targets that are no longer registered."""
        self._background.start(TASK_NAME, self._async_drop_unregistered)

    async def async_unload(self) -> None:
        """Stop dropping and sending limits."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    async def _async_drop_unregistered(self) -> None:
        while True:
            await asyncio.sleep(c.LIMIT_EXPIRY_INTERVAL_SECONDS)
            registered = self._state.registry.get_all()
            numbers = {hash_name(target.id) for target in registered}
            self._limits.keep_only(numbers, read_clock())

    def _handle_change(self, number: int) -> None:
        self._gossip.record_change(number)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(c.LIMIT_BATCH_SECONDS, self._send)

    def _send(self) -> None:
        self._timer = None
        for numbers in self._gossip.take_pending():
            self._outgoing = numbers
            self._peers.send_section_to_all(SECTION)
        self._outgoing = []

    def _build(self) -> list[Any] | None:
        selected = self._outgoing or self._gossip.choose_next()
        return self._gossip.build(selected, read_clock()) or None

    def _merge(self, host: str, data: Any, age: float) -> None:
        self._gossip.merge(data, age, read_clock())
