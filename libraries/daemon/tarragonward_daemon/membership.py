"""Read the host list and keep the view of the other hosts."""

from __future__ import annotations

import asyncio
import itertools
from typing import Any

from tarragonward_core import Address, TargetError, log_event
from tarragonward_membership import ListedHost, Membership
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState

__all__ = ["MembershipTask"]

KIND_ENTRY = "entry"
STATE_LEAVING = "leaving"


class MembershipTask:
    """Own the reading of the host list; know which targets are leaving."""

    def __init__(self, host: HostState) -> None:
        self.membership = Membership(host.identity)
        self.leaving_targets: frozenset[str] = frozenset()
        self._replicas = itertools.cycle(host.settings.host_list)
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to read."""
        self._task = asyncio.create_task(self._async_read())

    async def async_unload(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _async_read(self) -> None:
        while True:
            replica = next(self._replicas)
            try:
                await self._async_read_list(replica)
            except (TargetError, KeyError, TypeError, ValueError) as err:
                log_event("host_list_read_failed", replica=replica, error=repr(err))
            await asyncio.sleep(c.HOST_LIST_SECONDS)

    async def _async_read_list(self, replica: Address) -> None:
        answer = await async_send_http(
            replica, "GET", "/v1/hosts", timeout=c.PLATFORM_TIMEOUT_SECONDS
        )
        hosts = answer.parse_json()["hosts"]
        entries = [_parse_host(item) for item in hosts if item["kind"] == KIND_ENTRY]
        now = asyncio.get_running_loop().time()
        self.membership.replace_list(entries, now)
        self.leaving_targets = frozenset(
            item["name"]
            for item in hosts
            if item["kind"] != KIND_ENTRY and item["state"] == STATE_LEAVING
        )


def _parse_host(item: dict[str, Any]) -> ListedHost:
    return ListedHost(
        name=item["name"],
        address=Address.parse(item["address"]),
        failure_domain=item["failure_domain"],
        region=item["region"],
        is_leaving=item["state"] == STATE_LEAVING,
    )
