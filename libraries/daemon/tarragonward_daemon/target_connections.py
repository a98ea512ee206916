"""Connect to targets directly, or through a peer where the direct link is lost."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from functools import partial

from tarragonward_config import Target
from tarragonward_core import Address, FrameError, log_event
from tarragonward_membership import MemberState
from tarragonward_placement import RelayDirectory
from tarragonward_wire import (
    Connector,
    PauseTimeout,
    Receiver,
    RelayRefusedError,
    RelayRequest,
    RelayResult,
    RelayServer,
    async_connect_by_link,
)

from . import const as c
from .core import HostState
from .membership import MembershipTask

__all__ = ["TargetConnections"]

# A host that is listed may be up before it was heard for the first time.
RELAYING_STATES = (MemberState.ALIVE, MemberState.LISTED)
Connection = tuple[asyncio.Transport, Receiver]


@dataclass
class _LostLink:
    """A target that this host can't connect to; at retry_at it tries again."""

    retry_at: float


class TargetConnections:
    """Opens this host's connections to targets, and those of peers that ask for one.

    A host that can't connect to a target may have lost its own link only, while its
    peers have theirs. The peer connects and passes bytes on; the request, its deadline
    and its record stay with this host, and nothing is sent before the peer has said
    that it is connected.
    """

    def __init__(self, host: HostState, membership: MembershipTask) -> None:
        self._host = host
        self._membership = membership
        self._directory = RelayDirectory(random.Random())
        self._lost: dict[str, _LostLink] = {}
        self._probe_tasks: dict[str, asyncio.Task[None]] = {}
        self.relays = RelayServer(None, self._resolve, host.metrics)
        host.get_connector = self.get_connector
        host.metrics.add_gauge(
            "targets_unreachable",
            "Targets that this host can't connect to itself.",
            lambda: len(self._lost),
        )

    async def async_setup(self) -> None:
        """Do nothing: connections are opened on demand."""

    async def async_unload(self) -> None:
        """End the connections of peers, and the probes."""
        tasks = list(self._probe_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self.relays.async_unload()

    def get_connector(self, target: Target) -> Connector:
        """Return what connects to a target; raises OSError or NotConnectedError."""
        return partial(self._async_connect, target)

    async def _async_connect(self, target: Target) -> Connection:
        peers = self._get_peers()
        if not peers:
            return await _async_connect_directly(target)
        if target.name in self._lost:
            self._probe_if_due(target)
        else:
            try:
                return await self._async_connect_in_time(target)
            except OSError:
                self._record_lost(target)
        return await self._async_connect_by_peer(target, peers)

    async def _async_connect_in_time(self, target: Target) -> Connection:
        async with PauseTimeout(_now() + c.DIRECT_CONNECT_TIMEOUT_SECONDS):
            return await _async_connect_directly(target)

    async def _async_connect_by_peer(
        self, target: Target, peers: set[Address]
    ) -> Connection:
        """Connect through the first peer that can, directly if none can."""
        service, asked = _get_service(target), set[Address]()
        self._directory.retain_only(peers)
        while len(asked) < c.MAX_RELAYS_ASKED:
            peer = self._directory.choose(service, peers, asked, _now())
            if peer is None:
                break
            asked.add(peer)
            connection = await self._async_ask(peer, target)
            if connection is not None:
                return connection
        # No target is left out because of a guess: the link may be back.
        connection = await self._async_connect_in_time(target)
        self._lost.pop(target.name, None)
        return connection

    async def _async_ask(self, peer: Address, target: Target) -> Connection | None:
        """Return a connection through a peer, None if the peer is of no use now."""
        service = _get_service(target)
        request = RelayRequest(target.name, c.DIRECT_CONNECT_TIMEOUT_SECONDS)
        key = self._host.settings.peer_key
        try:
            async with PauseTimeout(_now() + c.RELAY_ANSWER_TIMEOUT_SECONDS):
                connection = await async_connect_by_link(
                    peer, request, self._host.identity, key
                )
        except RelayRefusedError as err:
            self._host.metrics.count("relayed_connects", err.result.name.lower())
            if err.result is RelayResult.TARGET_UNREACHABLE:
                # The peer has other targets; this one is probably dead.
                raise
            if err.result is RelayResult.SERVICE_UNREACHABLE:
                self._directory.record_unable(peer, service, _now())
            else:
                self._directory.record_lost(peer, _now())
            return None
        except (OSError, TimeoutError, FrameError) as err:
            self._host.metrics.count("relayed_connects", "peer_lost")
            self._directory.record_lost(peer, _now())
            log_event("relay_lost", relay=peer, error=repr(err))
            return None
        self._host.metrics.count("relayed_connects", "connected")
        self._directory.record_connected(peer, service, _now())
        return connection

    def _record_lost(self, target: Target) -> None:
        if target.name not in self._lost:
            log_event("target_unreachable", target=target.name)
        self._lost[target.name] = _LostLink(_now() + c.LOST_LINK_RETRY_SECONDS)

    def _probe_if_due(self, target: Target) -> None:
        """Try the direct link in the background, so that no request waits for it."""
        lost = self._lost[target.name]
        if _now() < lost.retry_at or target.name in self._probe_tasks:
            return
        task = asyncio.create_task(self._async_probe(target))
        self._probe_tasks[target.name] = task
        task.add_done_callback(lambda _: self._probe_tasks.pop(target.name, None))

    async def _async_probe(self, target: Target) -> None:
        try:
            transport, _ = await self._async_connect_in_time(target)
        except OSError:
            self._record_lost(target)
            return
        transport.abort()
        if self._lost.pop(target.name, None) is not None:
            log_event("target_reachable", target=target.name)

    def _resolve(self, host: str, request: RelayRequest) -> Address | RelayResult:
        """Return the address of a target that a peer asks to be connected to."""
        state = self._host.configuration_state
        targets = {} if state is None else state.configuration.targets
        target = targets.get(request.target)
        if target is None or self._host.is_draining:
            return RelayResult.NOT_ACCEPTED
        if target.name in self._membership.leaving_targets:
            return RelayResult.NOT_ACCEPTED
        if target.name not in self._lost:
            return target.address
        service = _get_service(target)
        alike = [each for each in targets.values() if _get_service(each) == service]
        if all(each.name in self._lost for each in alike):
            return RelayResult.SERVICE_UNREACHABLE
        return RelayResult.TARGET_UNREACHABLE

    def _get_peers(self) -> set[Address]:
        members = self._membership.membership.get_members()
        return {
            member.listed.address
            for member in members
            if member.state in RELAYING_STATES
        }


async def _async_connect_directly(target: Target) -> Connection:
    return await asyncio.get_running_loop().create_connection(
        Receiver, target.address.host, target.address.port
    )


def _get_service(target: Target) -> str:
    """Return the service of a target, or the models of an engine."""
    return target.service or ",".join(target.models)


def _now() -> float:
    return asyncio.get_running_loop().time()
