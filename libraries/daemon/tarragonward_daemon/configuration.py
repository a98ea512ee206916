"""Read and watch the published configuration; the number in force never falls."""

from __future__ import annotations

import asyncio
import itertools
import random
from typing import Any

from tarragonward_config import (
    ConfigurationState,
    LogEntry,
    apply_entries,
    build_state,
)
from tarragonward_core import (
    Address,
    ConfigurationError,
    TargetError,
    invariants,
    log_event,
)
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState

__all__ = ["ConfigurationTask"]


class ConfigurationTask:
    """Own the watch of the configuration service."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._task: asyncio.Task[None] | None = None
        self._replicas = itertools.cycle(host.settings.configuration)

    async def async_setup(self) -> None:
        """Start to watch."""
        self._task = asyncio.create_task(self._async_watch())

    async def async_unload(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def take_over(self, state: ConfigurationState) -> bool:
        """Put a state in force unless it is older than the one in force."""
        current = self._host.configuration_state
        # A stale replica of the platform shows an old snapshot. Symptom: a patch that
        # was in force is undone. The log only grows, so its length tells which is
        # newer, and the older one is not taken over.
        if current is not None and state.sequence <= current.sequence:
            return False
        invariants.check(
            current is None or state.number >= current.number,
            "number_in_force_never_falls",
            found=state.number,
        )
        self._host.configuration_state = state
        log_event(
            "configuration_in_force", number=state.number, sequence=state.sequence
        )
        return True

    async def _async_watch(self) -> None:
        while True:
            replica = next(self._replicas)
            try:
                if self._host.configuration_state is None:
                    await self._async_read_snapshot(replica)
                await self._async_read_log(replica)
            except (TargetError, ConfigurationError, KeyError, TypeError) as err:
                log_event("configuration_read_failed", replica=replica, error=repr(err))
                jitter = random.uniform(0.5, 1.5)
                await asyncio.sleep(c.CONFIGURATION_RETRY_SECONDS * jitter)

    async def _async_read_snapshot(self, replica: Address) -> None:
        data = await self._async_get(replica, "/v1/configuration/snapshot")
        state = build_state(data["sequence"], data["number"], data["document"])
        self.take_over(state)

    async def _async_read_log(self, replica: Address) -> None:
        current = self._host.configuration_state
        if current is None:
            return
        path = (
            f"/v1/configuration/log?after={current.sequence}"
            f"&wait={c.CONFIGURATION_WATCH_SECONDS}"
        )
        data = await self._async_get(replica, path)
        entries = [parse_entry(item) for item in data["entries"]]
        if entries:
            self.take_over(apply_entries(current, entries))

    async def _async_get(self, replica: Address, path: str) -> Any:
        answer = await async_send_http(
            replica, "GET", path, timeout=c.PLATFORM_TIMEOUT_SECONDS
        )
        if answer.status != 200:
            raise TargetError(f"{replica} answered {answer.status}")
        return answer.parse_json()


def parse_entry(item: dict[str, Any]) -> LogEntry:
    """Return an entry of the published log; raise KeyError where a part is missing."""
    return LogEntry(item["sequence"], item["base"], tuple(item["operations"]))
