"""Connect to targets through peers, and connect peers to targets."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from functools import partial

from absl import logging

from tarragonward_core import Address, NotConnectedError, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Evidence, RelayDirectory
from tarragonward_wire import (
    Connector,
    PauseTimeout,
    Receiver,
    RelayRefusedError,
    RelayRequest,
    RelayResult,
    RelayServer,
    async_connect_by_relay,
)

from . import const as c
from .clock import read_clock
from .failure_domains.homes import HomePolicy
from .state import GatewayState
from .targets import TargetChooser

__all__ = ["RelayTask"]

Connection = tuple[asyncio.Transport, Receiver]


class RelayTask:
    """Opens and serves the connections that pass through another host.

    A request stays with the host that took it from its caller, which alone decides on
    targets, deadlines, retries and what the caller is told. Its peer only passes bytes
    on: it opens one connection to one target, and knows nothing of requests. So every
    promise to callers rests where it does without a peer.
    """

    def __init__(self, state: GatewayState, chooser: TargetChooser) -> None:
        self._state = state
        self._chooser = chooser
        self._directory = RelayDirectory(random.Random(state.random.random()))
        self._server = RelayServer(state.settings.peers, self._resolve, state.metrics)
        self._server.on_unreachable = self._record_unreachable
        # The addresses of peers that may be asked, and IP addresses that may ask.
        self.get_peers: Callable[[], Collection[Address]] = lambda: ()
        self.get_hosts: Callable[[], Collection[str]] = lambda: ()
        self.get_domain: Callable[[Address], str] = lambda peer: ""
        # By service: the search for a peer that reaches it.
        self._prove_tasks: dict[str, asyncio.Task[bool | None]] = {}
        chooser.probes.async_check_by_relay = self.async_check
        chooser.probes.reachability.on_lost.append(self._prove)
        chooser.paths.may_relay = self.may_relay
        chooser.paths.has_proven_relay = self._has_proven
        chooser.paths.prove_relay = self._prove
        chooser.paths.build_connector = self.build_connector
        chooser.paths.is_lost_relay = self._is_lost
        state.metrics.add_gauge(
            "relayed_connections",
            "connections of peers to targets that pass through this host",
            lambda: len(self._server.connections),
        )

    async def async_setup(self) -> None:
        """Start to serve peers; without the port the host serves its own callers."""
        try:
            await self._server.async_setup()
        except OSError as err:
            log_event("relays_unserved", level=logging.ERROR, error=str(err))

    async def async_unload(self) -> None:
        """End the connections of peers."""
        for task in list(self._prove_tasks.values()):
            task.cancel()
        await self._server.async_unload()

    async def async_wait_idle(self) -> None:
        """Wait until no peer has a connection through this host."""
        await self._server.async_wait_idle()

    def may_relay(self, service: str) -> bool:
        """Return whether a peer may connect this host to a service now."""
        peers = self.get_peers()
        return self._directory.choose(service, peers, (), read_clock()) is not None

    async def async_check(
        self,
        target: RegisteredTarget,
        timeout: float = c.RELAY_CHECK_TIMEOUT_SECONDS,
    ) -> bool | None:
        """Return whether a peer can connect to a target, None if no peer tells."""
        try:
            async with PauseTimeout(_now() + timeout):
                transport, _ = await self._async_connect(target)
        except RelayRefusedError:
            return False
        except (NotConnectedError, OSError, TimeoutError):
            return None
        transport.abort()
        return True

    def _prove(self, service: str) -> None:
        """Find a peer that reaches a service, before the next request needs one."""
        ready = self._state.registry.get_ready(service)
        if not ready or service in self._prove_tasks:
            return
        target = min(ready, key=lambda _: self._state.random.random())
        check = self.async_check(target, c.RELAYED_CONNECT_TIMEOUT_SECONDS)
        task = asyncio.ensure_future(check)
        self._prove_tasks[service] = task
        task.add_done_callback(lambda _: self._prove_tasks.pop(service, None))

    def build_connector(
        self,
        target: RegisteredTarget,
        on_relay: Callable[[Address], None] | None,
        homes: frozenset[str] | None = None,
    ) -> Connector:
        """Return a connector to a target through peers.

        on_relay is called with the address of the peer that has connected. homes are
        the regions of the peers that may see the request, None if all may.
        """
        return partial(self._async_connect, target, on_relay, homes)

    def _list_peers(self, homes: frozenset[str] | None) -> list[Address]:
        policy = HomePolicy(self._state.settings.regions)
        return [
            peer
            for peer in self.get_peers()
            if policy.allows(homes, self.get_domain(peer))
        ]

    def _is_lost(self, peer: Address) -> bool:
        return self._directory.is_lost(peer, read_clock())

    def _has_proven(self, service: str) -> bool:
        return self._directory.has_proven(service, read_clock())

    async def _async_connect(
        self,
        target: RegisteredTarget,
        on_relay: Callable[[Address], None] | None = None,
        homes: frozenset[str] | None = None,
    ) -> Connection:
        """Connect through the first peer that can; raise NotConnectedError if none."""
        service, asked = target.service, set[Address]()
        self._directory.retain_only(self.get_peers())
        peers = self._list_peers(homes)
        while len(asked) < c.MAX_RELAYS_ASKED:
            peer = self._directory.choose(service, peers, asked, read_clock())
            if peer is None:
                break
            asked.add(peer)
            connection = await self._async_ask(peer, target)
            if connection is not None:
                if on_relay is not None:
                    on_relay(peer)
                return connection
        self._state.metrics.count("relayed_connects", "no_relay")
        raise NotConnectedError(f"{target.address}: no relay of {len(asked)} asked")

    async def _async_ask(
        self, peer: Address, target: RegisteredTarget
    ) -> Connection | None:
        """Return a connection through a peer, None if the peer is of no use now."""
        now = read_clock()
        request = RelayRequest(target.id, c.CONNECT_TIMEOUT_SECONDS)
        try:
            async with PauseTimeout(_now() + c.RELAY_ANSWER_TIMEOUT_SECONDS):
                connection = await async_connect_by_relay(peer, request)
        except RelayRefusedError as err:
            self._state.metrics.count("relayed_connects", err.result.name.lower())
            self._record_refusal(peer, target, err)
            return None
        except (OSError, TimeoutError) as err:
            self._state.metrics.count("relayed_connects", "peer_lost")
            self._directory.record_lost(peer, now)
            log_event("relay_lost", relay=peer, error=repr(err))
            self._chooser.paths.notify_relay_lost(peer)
            return None
        self._state.metrics.count("relayed_connects", "connected")
        self._directory.record_connected(peer, target.service, now)
        return connection

    def _record_refusal(
        self, peer: Address, target: RegisteredTarget, refusal: RelayRefusedError
    ) -> None:
        now = read_clock()
        if refusal.result is RelayResult.SERVICE_UNREACHABLE:
            self._directory.record_unable(peer, target.service, now)
        elif refusal.result is RelayResult.TARGET_UNREACHABLE:
            # The peer has other targets of the service; this one is probably dead.
            self._chooser.paths.record(target, Evidence.NOT_CONNECTED)
            raise refusal
        else:
            self._directory.record_lost(peer, now)

    def _resolve(self, host: str, request: RelayRequest) -> Address | RelayResult:
        """Return the address of a target that a peer asks to be connected to."""
        target = self._state.registry.get_boot(request.target)
        if host not in self.get_hosts() or target is None or self._state.is_draining:
            return RelayResult.NOT_ACCEPTED
        if not self._chooser.accepts_requests(target):
            return RelayResult.NOT_ACCEPTED
        if not self._chooser.target_health.is_disconnected(target):
            return target.address
        if self._chooser.is_service_unreachable(target.service):
            return RelayResult.SERVICE_UNREACHABLE
        return RelayResult.TARGET_UNREACHABLE

    def _record_unreachable(self, boot_id: str) -> None:
        target = self._state.registry.get_boot(boot_id)
        if target is not None:
            self._chooser.probes.record(target, Evidence.NOT_CONNECTED)


def _now() -> float:
    return asyncio.get_running_loop().time()
