"""Tell the other hosts of requests that targets end under, and hear theirs."""

from __future__ import annotations

import asyncio
import hashlib
from collections import defaultdict
from typing import Any

from tarragonward_core import Address, BackgroundTasks
from tarragonward_membership import SeedPeer
from tarragonward_membership.const import MAX_MESH_PEERS
from tarragonward_requests import SuspectEntry
from tarragonward_requests.const import CRASHES_UNTIL_ALONE

from . import const as c
from .clock import read_clock
from .peers import Peers
from .state import GatewayState
from .suspects import SuspectWatch

__all__ = ["SECTION", "SuspectNews", "choose_keepers"]

SECTION = "suspects"
TASK_NAME = "suspects"
ADDRESS_BYTES = 8


class SuspectNews:
    """The part of the hosts' datagrams that is about suspects.

    In a small fleet all hosts hear of each crash. In a large one a first crash is told
    to a few hosts of each failure domain, chosen by the fingerprint, so that crashes
    seen by different hosts meet there; from the second on all are told at once. Rounds
    repeat what all should know, for hosts that start, wake or come back from a cut.
    """

    def __init__(
        self, state: GatewayState, peers: Peers, suspects: SuspectWatch
    ) -> None:
        self._state = state
        self._peers = peers
        self._ledger = suspects.ledger
        self._background = BackgroundTasks(state.metrics)
        self._due: dict[bytes, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._telling: list[bytes] = []
        self._turn = 0
        suspects.on_news.append(self.tell)
        peers.add_section(SECTION, self._build, self._take)

    async def async_setup(self) -> None:
        """Begin to forget what was not seen for long."""
        self._background.start(TASK_NAME, self._async_expire)

    async def async_unload(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
        await self._background.async_unload()

    def tell(self, fingerprint: bytes, delay: float = c.SUSPECT_NEWS_SECONDS) -> None:
        """Tell of a request soon, together with others."""
        self._due.setdefault(fingerprint, read_clock() + delay)
        self._arm()

    async def _async_expire(self) -> None:
        while True:
            await asyncio.sleep(c.SUSPECT_CHECK_SECONDS)
            self._ledger.expire(read_clock())

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._due:
            wait = max(0.0, min(self._due.values()) - read_clock())
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait, self._tell_due)

    def _tell_due(self) -> None:
        now = read_clock()
        due = [fingerprint for fingerprint, at in self._due.items() if at <= now]
        by_hosts: dict[tuple[Address, ...], list[bytes]] = defaultdict(list)
        for fingerprint in due:
            del self._due[fingerprint]
            by_hosts[self._choose_told(fingerprint)].append(fingerprint)
        for hosts, fingerprints in by_hosts.items():
            for start in range(0, len(fingerprints), c.MAX_SUSPECTS_TOLD):
                self._telling = fingerprints[start : start + c.MAX_SUSPECTS_TOLD]
                self._peers.tell_some(SECTION, hosts)
        self._telling = []
        self._arm()

    def _choose_told(self, fingerprint: bytes) -> tuple[Address, ...]:
        peers = self._peers.members.get_peers()
        suspect = self._ledger.get(fingerprint)
        is_for_all = suspect is None or len(suspect.crashes) >= CRASHES_UNTIL_ALONE
        if is_for_all or len(peers) <= MAX_MESH_PEERS:
            return tuple(peer.identity.address for peer in peers)
        return choose_keepers(fingerprint, peers)

    def _build(self) -> list[Any] | None:
        told = self._telling or self._choose_in_turn()
        now = read_clock()
        entries = (self._ledger.build_entry(fingerprint, now) for fingerprint in told)
        return [entry.pack() for entry in entries if entry is not None] or None

    def _choose_in_turn(self) -> list[bytes]:
        """Return a few of those that all should know, others at each call."""
        known = [
            fingerprint
            for fingerprint, suspect in self._ledger.iterate()
            if len(suspect.crashes) >= CRASHES_UNTIL_ALONE
        ]
        if not known:
            return []
        start = self._turn = self._turn % len(known)
        self._turn += c.MAX_SUSPECTS_IN_ROUNDS
        return (known[start:] + known[:start])[: c.MAX_SUSPECTS_IN_ROUNDS]

    def _take(self, host: str, data: Any, age: float) -> None:
        now = read_clock()
        for item in data:
            entry = SuspectEntry.unpack(item)
            if self._ledger.take(entry, now, age):
                turn = self._state.random.random() * c.SUSPECT_TURN_SECONDS
                self.tell(entry.fingerprint, turn)
            elif self._knows_no_more(entry):
                self._due.pop(entry.fingerprint, None)

    def _knows_no_more(self, entry: SuspectEntry) -> bool:
        """Return whether all that this host knows of a request was just told."""
        suspect = self._ledger.get(entry.fingerprint)
        told = {target for target, _ in entry.crashes}
        return suspect is not None and told.issuperset(suspect.crashes)


def choose_keepers(
    fingerprint: bytes, peers: tuple[SeedPeer, ...]
) -> tuple[Address, ...]:
    """Return the hosts, some of each failure domain, that hear of a first crash.

    Hosts with the same view choose the same; where views differ, most of them agree.
    A failure domain that is cut off has its own.
    """
    by_domain: dict[str, list[Address]] = defaultdict(list)
    for peer in peers:
        by_domain[peer.failure_domain].append(peer.identity.address)
    return tuple(
        address
        for addresses in by_domain.values()
        for address in sorted(addresses, key=lambda a: _rank(fingerprint, a))[
            : c.SUSPECT_KEEPERS_A_DOMAIN
        ]
    )


def _rank(fingerprint: bytes, address: Address) -> bytes:
    name = fingerprint + str(address).encode()
    return hashlib.blake2b(name, digest_size=ADDRESS_BYTES).digest()
