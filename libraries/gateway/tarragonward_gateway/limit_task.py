"""Tell the other hosts of the limits that targets name, and hear theirs."""

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
    """The part of the hosts' datagrams that is about limits of targets."""

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
        chooser.on_limit.append(self._note_changed)
        peers.add_section(SECTION, self._build, self._take)
        state.metrics.add_gauge(
            "targets_limited", "name a limit", lambda: len(self._limits)
        )

    async def async_setup(self) -> None:
        """Begin to forget the limits of targets that are no more."""
        self._background.start(TASK_NAME, self._async_forget)

    async def async_unload(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    async def _async_forget(self) -> None:
        while True:
            await asyncio.sleep(c.LIMIT_EXPIRY_INTERVAL_SECONDS)
            registered = self._state.registry.get_all()
            numbers = {hash_name(target.id) for target in registered}
            self._limits.keep_only(numbers, read_clock())

    def _note_changed(self, number: int) -> None:
        self._gossip.note_changed(number)
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
        told = self._outgoing or self._gossip.choose_next()
        return self._gossip.build(told, read_clock()) or None

    def _take(self, host: str, data: Any, age: float) -> None:
        self._gossip.take(data, age, read_clock())
