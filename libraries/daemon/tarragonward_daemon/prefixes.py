"""Read prefix cache events of the engines that this host uses."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from tarragonward_config import Target
from tarragonward_core import BackgroundTasks, TargetError, log_event
from tarragonward_placement import (
    BLOCK_TOKENS,
    CacheUpdate,
    PrefixIndex,
    hash_blocks,
)
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState

__all__ = ["PrefixTask", "hash_prompt"]


def hash_prompt(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's complete blocks, as engines compute them."""
    return hash_blocks(prompt.encode(), BLOCK_TOKENS * c.BYTES_PER_TOKEN)


class PrefixTask:
    """Read cache events of the engines that this host recently sent prompts to.

    Only a few engines are read at a time, so the cost depends on this host's load and
    not on the number of engines.
    """

    def __init__(self, index: PrefixIndex, host: HostState) -> None:
        self._index = index
        self._host = host
        self._recently_used: dict[str, tuple[Target, float]] = {}
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start to read cache events."""
        self._background.start("prefixes", self._async_run)

    async def async_unload(self) -> None:
        """Stop reading."""
        await self._background.async_unload()

    def mark_used(self, target: Target) -> None:
        """Read an engine's events until it is unused for the retention period."""
        self._recently_used[target.name] = target, asyncio.get_running_loop().time()

    async def _async_run(self) -> None:
        while True:
            await asyncio.sleep(
                c.PREFIX_READ_INTERVAL_SECONDS * random.uniform(0.8, 1.2)
            )
            self._remove_unused()
            targets = [target for target, _ in self._recently_used.values()]
            chosen = random.sample(targets, min(len(targets), c.MAX_PREFIX_READS))
            await asyncio.gather(*map(self._async_read, chosen))

    def _remove_unused(self) -> None:
        now = asyncio.get_running_loop().time()
        for name, (_, used_at) in list(self._recently_used.items()):
            if now - used_at > c.PREFIX_RETENTION_SECONDS:
                del self._recently_used[name]
                self._index.forget(name)

    async def _async_read(self, target: Target) -> None:
        after = self._index.get_sequence(target.name)
        path = f"/v1/cache-events?after={after}"
        try:
            answer = await async_send_http(
                target.address,
                "GET",
                path,
                timeout=c.REPORT_TIMEOUT_SECONDS,
                connect=self._host.get_connector(target),
            )
            report = answer.parse_json()
            if int(report["sequence"]) < after:
                # The engine has restarted and its cache is empty.
                self._index.forget(target.name)
                return
            self._index.update(target.name, map(_parse_event, report["events"]))
        except (TargetError, KeyError, TypeError, ValueError) as err:
            log_event("cache_events_failed", target=target.name, reason=repr(err))


def _parse_event(item: dict[str, Any]) -> CacheUpdate:
    return CacheUpdate(
        sequence=int(item["sequence"]),
        added=tuple((int(index), int(value)) for index, value in item["added"]),
        removed=tuple(int(value) for value in item["removed"]),
    )
