"""Read the host list, and maintain this host's view of the others by gossip."""

from __future__ import annotations

import asyncio
import gzip
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import orjson

from tarragonward_core import (
    Address,
    BackgroundTasks,
    FrameError,
    HostIdentity,
    TargetError,
    log_event,
)
from tarragonward_membership import (
    Gossip,
    GossipReceived,
    HostListRead,
    IndirectAck,
    IndirectProbe,
    ListedHost,
    ListedTarget,
    LoadReport,
    Membership,
    TargetList,
    Tick,
)
from tarragonward_wire import HttpAnswer, async_send_http

from . import const as c
from .core import HostState
from .gossip import GossipTransport

__all__ = ["MembershipTask", "parse_list"]

LIST_ERRORS = (TargetError, KeyError, TypeError, ValueError, OSError, EOFError)
HTTP_OK = 200
HTTP_NOT_MODIFIED = 304
KIND_ENTRY = "entry"
STATE_LEAVING = "leaving"


@dataclass(frozen=True)
class _HostList:
    """A replica's host list, with its entity tag."""

    entries: tuple[ListedHost, ...]
    targets: tuple[ListedTarget, ...]
    tag: str


class MembershipTask:
    """Read the host list, exchange gossip, and drive membership's timer.

    Its results are hints: they may be late or wrong, which only costs speed.
    """

    def __init__(self, host: HostState) -> None:
        settings = host.settings
        self._host = host
        self.membership = Membership(
            host.identity, settings.failure_domain, settings.region, random.Random()
        )
        self.leaving_targets: frozenset[str] = frozenset()
        self._targets = TargetList()
        self._transport = GossipTransport(host, self.membership)
        self._replicas = itertools.cycle(host.settings.host_list)
        self._lists: dict[Address, _HostList] = {}
        self._applied_state: Any = None
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start to read the host list and to gossip."""
        self._background.start("host_list", self._async_read)
        self._background.start("gossip", self._async_tick)

    async def async_unload(self) -> None:
        """Stop all tasks and close the links of gossip."""
        await self._background.async_unload()
        await self._transport.async_unload()

    def is_gone(self, identity: HostIdentity) -> bool:
        """Return whether this incarnation of a host has ended, in this host's view.

        A hint: if the owner of an engine stream is alive after all, its stream is
        cancelled and started again.
        """
        return self.membership.is_gone(identity, _now())

    def is_watcher(self, target_name: str) -> bool:
        """Return whether this host is one of the watchers of a target."""
        state = self._host.configuration_state
        target = state and state.configuration.targets.get(target_name)
        if not target:
            return False
        return self.membership.is_watcher(target_name, target.failure_domain)

    def count_live_hosts(self) -> int:
        """Return the number of live hosts, including this one."""
        return self.membership.count_live_hosts()

    def get_demand(self) -> dict[str, float]:
        """Return the other live hosts' demand in tokens per second by account.

        OTHER_ACCOUNTS holds the sum of accounts too small to be sent separately.
        """
        return self.membership.get_demand(_now())

    def set_own_demand(self, rates: Mapping[str, float]) -> None:
        """Set this host's own demand in tokens per second by client account."""
        self.membership.demands.set_own_rates(rates, _now())

    def set_leaving(self) -> None:
        """Announce to the other hosts that this one drains."""
        self.membership.set_leaving()

    def record_load(self, report: LoadReport) -> None:
        """Record a load report that this host read from an engine."""
        self.membership.loads.record(report)

    def get_load(self, target_name: str) -> LoadReport | None:
        """Return the newest load report of a target, from any host."""
        return self.membership.loads.get(target_name)

    def add_peer_ahead_listener(self, callback: Callable[[Address, int], None]) -> None:
        """Add a callback for the address and log sequence of a peer that is ahead."""
        self._transport.peer_ahead_callbacks.append(callback)

    def handle_gossip(self, peer: HostIdentity, message: Gossip) -> Gossip:
        """Return the answer to another host's probe."""
        answer = self._transport.handle(GossipReceived(peer, message))
        if answer is None:
            raise FrameError("a probe without an answer")
        return answer

    async def async_probe_indirectly(self, message: IndirectProbe) -> IndirectAck:
        """Probe a host on behalf of a peer that gets no answer from it."""
        return await self._transport.async_probe_indirectly(message)

    async def _async_tick(self) -> None:
        while True:
            self._apply_configuration()
            self._transport.handle(Tick())
            await asyncio.sleep(c.MEMBERSHIP_TICK_INTERVAL_SECONDS)

    def _apply_configuration(self) -> None:
        state = self._host.configuration_state
        if state is None or state is self._applied_state:
            return
        self._applied_state = state
        own_domain = self._host.settings.failure_domain
        targets = state.configuration.targets.values()
        self.membership.configuration_sequence = state.sequence
        self.membership.loads.set_targets(
            {target.name: target.failure_domain == own_domain for target in targets}
        )
        self.membership.demands.set_accounts(state.configuration.client_accounts)

    async def _async_read(self) -> None:
        while True:
            replica = next(self._replicas)
            try:
                await self._async_read_list(replica)
            except LIST_ERRORS as err:
                log_event("host_list_read_failed", replica=replica, error=repr(err))
            await asyncio.sleep(c.HOST_LIST_INTERVAL_SECONDS * random.uniform(0.8, 1.2))

    async def _async_read_list(self, replica: Address) -> None:
        # The list of a large fleet is over 100 KB and is read every two seconds. It is
        # usually unchanged, and then a conditional request transfers only its tag.
        headers = {"accept-encoding": "gzip"}
        if replica in self._lists:
            headers["if-none-match"] = self._lists[replica].tag
        answer = await async_send_http(
            replica,
            "GET",
            "/v1/hosts",
            headers=headers,
            timeout=c.PLATFORM_TIMEOUT_SECONDS,
        )
        if answer.status == HTTP_NOT_MODIFIED and replica in self._lists:
            self._apply_list(self._lists[replica])
            return
        if answer.status != HTTP_OK:
            raise TargetError(f"{replica} answered {answer.status}")
        host_list = parse_list(answer)
        self._apply_list(host_list)
        if host_list.tag:
            self._lists[replica] = host_list

    def _apply_list(self, host_list: _HostList) -> None:
        self._transport.handle(HostListRead(host_list.entries))
        self._targets.apply_list(host_list.targets, _now())
        self._update_leaving()

    def _update_leaving(self) -> None:
        state = self._host.configuration_state
        published = () if state is None else state.configuration.targets
        self.leaving_targets = self._targets.get_leaving(published, _now())


def _now() -> float:
    return asyncio.get_running_loop().time()


def parse_list(answer: HttpAnswer) -> _HostList:
    """Return the host list in a replica's answer, which may be gzipped."""
    body = answer.body
    if answer.headers.get("content-encoding") == "gzip":
        body = gzip.decompress(body)
    hosts = orjson.loads(body)["hosts"]
    return _HostList(
        tuple(_parse_host(item) for item in hosts if item["kind"] == KIND_ENTRY),
        tuple(
            ListedTarget(item["name"], item["state"] == STATE_LEAVING)
            for item in hosts
            if item["kind"] != KIND_ENTRY
        ),
        answer.headers.get("etag", ""),
    )


def _parse_host(item: dict[str, Any]) -> ListedHost:
    return ListedHost(
        name=item["name"],
        address=Address.parse(item["address"]),
        failure_domain=item["failure_domain"],
        region=item["region"],
        is_leaving=item["state"] == STATE_LEAVING,
    )
