"""Send and receive gossip for membership, which itself does no I/O."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from functools import singledispatch
from typing import Any

from tarragonward_core import Address, FrameError, TargetError, log_event
from tarragonward_membership import (
    Effect,
    Event,
    Gossip,
    IndirectAck,
    IndirectProbe,
    IndirectProbeAnswered,
    MemberChanged,
    MemberRecord,
    Membership,
    PeerHasNewerConfiguration,
    ProbeAnswered,
    ProbeFailed,
    RecordState,
    RequestIndirectProbe,
    SendAnswer,
    SendProbe,
)
from tarragonward_wire import PeerLinks, register_message

from . import const as c
from .core import HostState

__all__ = ["GossipTransport"]

for message_type in (Gossip, IndirectProbe, IndirectAck):
    register_message(message_type)


class GossipTransport:
    """Pass events to membership and apply its effects, on links used only for gossip.

    Forwarded calls use other links: a large answer ahead of a probe would make the
    peer look dead, and dropping the link to a silent peer would abort its calls in
    progress.
    """

    def __init__(self, host: HostState, membership: Membership) -> None:
        self._host = host
        self._membership = membership
        self._links = PeerLinks(host.identity, host.settings.peer_key)
        self._tasks: set[asyncio.Task[None]] = set()
        self.peer_ahead_callbacks: list[Any] = []

    async def async_unload(self) -> None:
        """Cancel tasks in progress, and close all links."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._links.async_unload()

    def handle(self, event: Event) -> Gossip | None:
        """Pass an event to membership; return the answer to send, if there is one."""
        answer = None
        now = asyncio.get_running_loop().time()
        for effect in self._membership.handle(event, now):
            if isinstance(effect, SendAnswer):
                answer = effect.message
            else:
                _apply(effect, self)
        return answer

    async def async_probe_indirectly(self, message: IndirectProbe) -> IndirectAck:
        """Probe a host on behalf of a peer that gets no answer from it."""
        address = Address(message.host, message.port)
        now = asyncio.get_running_loop().time()
        probe = self._membership.build_gossip(address, now)
        answer = await self._async_request(address, probe, c.GOSSIP_TIMEOUT_SECONDS)
        if not isinstance(answer, Gossip):
            return IndirectAck(())
        identity = self._links.get_peer(address)
        if identity is None:
            return IndirectAck(())
        record = MemberRecord(identity, answer.version, RecordState(answer.state))
        return IndirectAck(record.pack())

    def _start(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_probe(self, effect: SendProbe) -> None:
        answer = await self._async_request(
            effect.address, effect.message, c.GOSSIP_TIMEOUT_SECONDS
        )
        if not isinstance(answer, Gossip):
            self.handle(ProbeFailed(effect.probe_id))
            return
        with self._drop_invalid(effect.address):
            self.handle(ProbeAnswered(effect.probe_id, answer))

    async def _async_request_indirect_probe(self, effect: RequestIndirectProbe) -> None:
        request = IndirectProbe(effect.address.host, effect.address.port)
        answer = await self._async_request(
            effect.helper, request, c.INDIRECT_PROBE_TIMEOUT_SECONDS
        )
        if isinstance(answer, IndirectAck) and answer.record:
            with self._drop_invalid(effect.helper):
                record = MemberRecord.unpack(answer.record)
                self.handle(IndirectProbeAnswered(effect.probe_id, record))

    @contextmanager
    def _drop_invalid(self, peer: Address) -> Iterator[None]:
        """Drop an invalid message, such as one from a peer of another version."""
        try:
            yield
        except FrameError as err:
            self._host.metrics.count("bad_frames", type(err).__name__)
            log_event("frame_refused", peer=peer, code=err.code.number, error=err)

    async def _async_request(
        self, address: Address, message: Any, timeout: float
    ) -> Any:
        try:
            return await self._links.async_request(address, message, timeout)
        except (TargetError, FrameError):
            # During a network partition, TCP retransmits at growing intervals, so an
            # old connection can stay silent for as long again after the partition
            # ends. A new connection does not wait.
            await self._links.async_drop(address)
            return None


@singledispatch
def _apply(effect: Effect, transport: GossipTransport) -> None:
    raise TypeError(f"unknown effect: {effect!r}")


@_apply.register
def _(effect: SendProbe, transport: GossipTransport) -> None:
    transport._start(transport._async_probe(effect))


@_apply.register
def _(effect: RequestIndirectProbe, transport: GossipTransport) -> None:
    transport._start(transport._async_request_indirect_probe(effect))


@_apply.register
def _(effect: PeerHasNewerConfiguration, transport: GossipTransport) -> None:
    for callback in transport.peer_ahead_callbacks:
        callback(effect.address, effect.configuration_sequence)


@_apply.register
def _(effect: MemberChanged, transport: GossipTransport) -> None:
    log_event(
        "member_changed",
        address=effect.address,
        identity=effect.identity,
        old=effect.old.value,
        new=effect.new.value,
    )
