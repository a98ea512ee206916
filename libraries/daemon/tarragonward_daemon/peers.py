"""Handle messages from other hosts by their type."""

from __future__ import annotations

from functools import singledispatch
from typing import Any

from tarragonward_core import FrameError, HostIdentity
from tarragonward_membership import Gossip, IndirectAck, IndirectProbe

from .calls import CallAnswer, ForwardCall, ServiceCalls
from .configuration_peers import (
    ConfigurationNews,
    ConfigurationPeers,
    PullConfiguration,
)
from .membership import MembershipTask
from .suspects import SuspectNews, SuspectTask

__all__ = ["PeerMessages"]


class PeerMessages:
    """Dispatch each type of message to the task that handles it."""

    def __init__(
        self,
        calls: ServiceCalls,
        configuration: ConfigurationPeers,
        membership: MembershipTask,
        suspects: SuspectTask,
    ) -> None:
        self._suspects = suspects
        self._calls = calls
        self._configuration = configuration
        self._membership = membership

    async def async_handle(self, peer: HostIdentity, message: Any) -> Any:
        """Handle a peer's message; return the answer, None if it needs none."""
        return await _async_handle(message, self, peer)


@singledispatch
async def _async_handle(message: Any, tasks: PeerMessages, peer: HostIdentity) -> Any:
    raise FrameError(f"no task takes {type(message).__name__}")


@_async_handle.register
async def _(
    message: ForwardCall, tasks: PeerMessages, peer: HostIdentity
) -> CallAnswer:
    return await tasks._calls.async_handle_forwarded(message)


@_async_handle.register
async def _(
    message: PullConfiguration, tasks: PeerMessages, peer: HostIdentity
) -> ConfigurationNews:
    return tasks._configuration.answer_pull(message)


@_async_handle.register
async def _(
    message: ConfigurationNews, tasks: PeerMessages, peer: HostIdentity
) -> None:
    await tasks._configuration.async_handle_update(message, peer.address)


@_async_handle.register
async def _(message: SuspectNews, tasks: PeerMessages, peer: HostIdentity) -> None:
    tasks._suspects.handle_news(message)


@_async_handle.register
async def _(message: Gossip, tasks: PeerMessages, peer: HostIdentity) -> Gossip:
    return tasks._membership.handle_gossip(peer, message)


@_async_handle.register
async def _(
    message: IndirectProbe, tasks: PeerMessages, peer: HostIdentity
) -> IndirectAck:
    return await tasks._membership.async_probe_indirectly(message)
