"""Exchange patches between hosts, for those that can't reach the platform."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from tarragonward_config import (
    ApplyResult,
    ConfigurationHistory,
    LogEntry,
    Outcome,
    build_state,
    decode_entries,
    encode_entries,
)
from tarragonward_core import Address, ConfigurationError, TargetError, log_event
from tarragonward_membership import Member, MemberState
from tarragonward_wire import PeerLinks, register_message

from . import const as c
from .core import HostState
from .membership import MembershipTask

__all__ = [
    "ConfigurationNews",
    "ConfigurationPeers",
    "PullConfiguration",
    "choose_neighbours",
]

GONE_STATES = frozenset({MemberState.DEAD, MemberState.LEAVING})


@register_message
@dataclass(frozen=True)
class PullConfiguration:
    """Request the entries after a sequence number; -1 requests a snapshot."""

    sequence: int
    digest: bytes


@register_message
@dataclass(frozen=True)
class ConfigurationNews:
    """A host's log entries as JSON, or a snapshot as JSON if entries are missing.

    The answer to PullConfiguration, and also pushed to neighbours with new entries.
    """

    sequence: int
    number: int
    digest: bytes
    entries: bytes
    snapshot: bytes


class ConfigurationPeers:
    """Push new entries to a few neighbours, and pull from one of them periodically."""

    def __init__(
        self,
        host: HostState,
        links: PeerLinks,
        membership: MembershipTask,
        history: ConfigurationHistory,
        on_result: Callable[[ApplyResult, str], None],
    ) -> None:
        self._host = host
        self._links = links
        self._membership = membership
        self._history = history
        self._on_result = on_result
        self._push_tasks: set[asyncio.Task[None]] = set()
        self._catch_up_task: asyncio.Task[None] | None = None

    async def async_unload(self) -> None:
        """Cancel pushes and pulls in progress."""
        tasks = list(self._push_tasks)
        if self._catch_up_task is not None:
            tasks.append(self._catch_up_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def push(self, taken: ApplyResult) -> None:
        """Push newly applied entries to the neighbours."""
        entries = [patch_result.entry for patch_result in taken.patch_results]
        if not entries:
            return
        update = self._build_update(tuple(entries), b"")
        if len(update.entries) > c.MAX_PUSH_BYTES:
            return
        for member in self._choose_neighbours():
            task = asyncio.create_task(self._async_push(member.listed.address, update))
            self._push_tasks.add(task)
            task.add_done_callback(self._push_tasks.discard)

    async def async_pull_from_many(self) -> None:
        """Pull from several hosts; a partition delays this by the time-outs at most."""
        await self._async_wait_for_members()
        members = self._membership.membership.get_members()
        chosen = random.sample(members, min(len(members), c.MAX_START_PEERS))
        pulls = [self._async_pull(member.listed.address) for member in chosen]
        await asyncio.gather(*pulls)

    async def async_pull_one(self) -> None:
        """Pull from one neighbour."""
        neighbours = self._choose_neighbours()
        if neighbours:
            await self._async_pull(random.choice(neighbours).listed.address)

    def handle_peer_ahead(self, address: Address, sequence: int) -> None:
        """Pull from a peer whose gossip shows a longer log, from one at a time.

        Neighbours are fixed. If all of them are unreachable, a patch would otherwise
        wait for the platform, although other hosts that this one gossips with have it.
        """
        if sequence <= self._history.sequence or self._catch_up_task is not None:
            return
        self._catch_up_task = asyncio.create_task(self._async_catch_up(address))

    async def _async_catch_up(self, address: Address) -> None:
        try:
            await self._async_pull(address)
        finally:
            self._catch_up_task = None

    def answer_pull(self, message: PullConfiguration) -> ConfigurationNews:
        """Return the entries, or the snapshot, that the requesting host lacks."""
        self._compare_digest(message.sequence, message.digest, "peer")
        if message.sequence >= self._history.sequence:
            return self._build_update((), b"")
        entries = self._history.get_entries_after(message.sequence)
        if message.sequence >= 0 and entries is not None:
            return self._build_update(entries, b"")
        return self._build_update((), self._encode_snapshot())

    def apply_update(self, update: ConfigurationNews, source: str) -> Outcome:
        """Apply a peer's update; raise ConfigurationError if it is invalid."""
        self._compare_digest(update.sequence, update.digest, source)
        if update.snapshot:
            data = orjson.loads(update.snapshot)
            state = build_state(update.sequence, update.number, data)
            taken = self._history.apply_snapshot(state)
        else:
            taken = self._history.extend(decode_entries(update.entries or b"[]"))
        self._on_result(taken, source)
        return taken.outcome

    async def async_handle_update(
        self, update: ConfigurationNews, peer: Address
    ) -> None:
        """Apply a pushed update; pull from the peer if earlier entries are missing."""
        outcome = self.apply_update(update, str(peer))
        if outcome is Outcome.GAP:
            await self._async_pull(peer)

    async def _async_pull(self, address: Address) -> None:
        request = PullConfiguration(self._history.sequence, self._history.digest)
        try:
            update = await self._links.async_request(
                address,
                request,
                c.CONFIGURATION_PEER_TIMEOUT_SECONDS,
                inactivity_timeout=c.CONFIGURATION_PEER_TIMEOUT_SECONDS,
            )
            if isinstance(update, ConfigurationNews):
                self.apply_update(update, str(address))
        except TargetError:
            return
        except (ConfigurationError, ValueError) as err:
            log_event("configuration_update_refused", peer=address, error=repr(err))

    async def _async_push(self, address: Address, update: ConfigurationNews) -> None:
        try:
            await self._links.async_notify(
                address, update, c.CONFIGURATION_PEER_TIMEOUT_SECONDS
            )
        except TargetError as err:
            log_event("configuration_push_failed", peer=address, error=repr(err))

    async def _async_wait_for_members(self) -> None:
        """Wait for the first host list, at most until the time-out."""
        loop = asyncio.get_running_loop()
        end = loop.time() + c.START_MEMBERS_TIMEOUT_SECONDS
        while not self._membership.membership.get_members() and loop.time() < end:
            await asyncio.sleep(c.START_POLL_INTERVAL_SECONDS)

    def _choose_neighbours(self) -> list[Member]:
        """Return the few hosts that this one always exchanges patches with.

        They are the same each time to keep the number of links low. Some are in other
        failure domains, as one domain may lose its platform while another has it.
        """
        settings = self._host.settings
        members = self._membership.membership.get_members()
        return choose_neighbours(str(settings.peers), settings.failure_domain, members)

    def _build_update(
        self, entries: tuple[LogEntry, ...], snapshot: bytes
    ) -> ConfigurationNews:
        state = self._history.state
        return ConfigurationNews(
            self._history.sequence,
            -1 if state is None else state.number,
            self._history.digest,
            encode_entries(entries) if entries else b"",
            snapshot,
        )

    def _encode_snapshot(self) -> bytes:
        state = self._history.state
        return b"" if state is None else orjson.dumps(state.document)

    def _compare_digest(self, sequence: int, digest: bytes, source: str) -> None:
        if sequence < 0 or sequence != self._history.sequence:
            return
        if digest != self._history.digest:
            self._on_result(ApplyResult(Outcome.FORK), source)


def choose_neighbours(
    own_address: str, failure_domain: str, members: list[Member]
) -> list[Member]:
    """Return the neighbours of a host by rendezvous hash; members gone rank last."""
    ranked = sorted(
        members,
        key=lambda m: (
            m.state in GONE_STATES,
            _score(own_address, str(m.listed.address)),
        ),
    )
    local = [m for m in ranked if m.listed.failure_domain == failure_domain]
    remote = [m for m in ranked if m.listed.failure_domain != failure_domain]
    return local[: c.LOCAL_NEIGHBOURS] + remote[: c.REMOTE_NEIGHBOURS]


def _score(own_address: str, peer_address: str) -> bytes:
    return hashlib.blake2b(
        f"{own_address}|{peer_address}".encode(), digest_size=8
    ).digest()
