"""Keep what is known of each other host, and who of them counts as there."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity

from . import const as c
from .messages import ListedHost, Member, MemberRecord, MemberState, RecordState

__all__ = ["NOT_THERE", "KnownHost", "Members"]

NOT_THERE = (MemberState.DEAD, MemberState.LEAVING)
STATES = {
    RecordState.ALIVE: MemberState.ALIVE,
    RecordState.LEAVING: MemberState.LEAVING,
    RecordState.SUSPECT: MemberState.SUSPECT,
    RecordState.DEAD: MemberState.DEAD,
}


@dataclass
class KnownHost:
    """One address: its entry in the host list, and the newest record of it.

    record is None until the host was heard of; is_unreachable then tells that it
    did not answer either. suspect_until is when a suspicion turns into death.
    """

    address: Address
    failure_domain: str = ""
    region: str = ""
    listed: ListedHost | None = None
    record: MemberRecord | None = None
    last_seen_at: float = 0.0
    suspect_until: float = 0.0
    is_unreachable: bool = False

    @property
    def state(self) -> MemberState:
        """Return what this host believes of the other."""
        if self.record is not None:
            state = STATES[self.record.state]
        elif self.is_unreachable:
            state = MemberState.DEAD
        else:
            state = MemberState.LISTED
        is_listed_leaving = self.listed is not None and self.listed.is_leaving
        if is_listed_leaving and state in (MemberState.ALIVE, MemberState.LISTED):
            return MemberState.LEAVING
        return state

    @property
    def is_dead(self) -> bool:
        """Return whether it is not there, as far as this host can tell."""
        return self.state is MemberState.DEAD

    @property
    def is_heard(self) -> bool:
        """Return whether it was heard of and is not dead."""
        return self.record is not None and not self.is_dead

    def build_member(self) -> Member:
        """Return what others are shown of it."""
        listed = self.listed or ListedHost(
            str(self.address), self.address, self.failure_domain, self.region, False
        )
        identity: HostIdentity | None = self.record and self.record.identity
        return Member(listed, identity, self.state)


class Members:
    """All other hosts, by address: those listed, and a bounded number of others."""

    def __init__(self, own: Address) -> None:
        self._own = own
        self._hosts: dict[Address, KnownHost] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def __iter__(self) -> Iterator[KnownHost]:
        return iter(self._hosts.values())

    def get(self, address: Address) -> KnownHost | None:
        """Return what is known of an address."""
        return self._hosts.get(address)

    def apply_list(self, hosts: tuple[ListedHost, ...], now: float) -> None:
        """Take over a host list.

        A lagging list leaves out hosts that are there. Symptom: they vanish from the
        view, come back with the next list, and watchers change hands each time. A
        host that was heard of is therefore kept, unlisted, until it falls silent.
        """
        listed = {h.address: h for h in hosts if h.address != self._own}
        for address, entry in listed.items():
            host = self._hosts.setdefault(address, KnownHost(address, last_seen_at=now))
            host.listed = entry
            host.failure_domain = entry.failure_domain
            host.region = entry.region
        for address, host in list(self._hosts.items()):
            if address not in listed:
                host.listed = None
                if host.record is None:
                    del self._hosts[address]
        self.forget_silent(now)

    def add_unlisted(self, address: Address, now: float) -> KnownHost | None:
        """Return a new entry for a host that is heard but not listed, if it fits."""
        unlisted = sum(host.listed is None for host in self)
        if address == self._own or unlisted >= c.MAX_UNLISTED_MEMBERS:
            return None
        host = self._hosts[address] = KnownHost(address, last_seen_at=now)
        return host

    def forget_silent(self, now: float) -> None:
        """Drop unlisted hosts that nothing new was heard of for long."""
        for address, host in list(self._hosts.items()):
            silent = now - host.last_seen_at > c.FORGET_UNLISTED_SECONDS
            if host.listed is None and silent:
                del self._hosts[address]

    def get_there(self, failure_domain: str) -> list[Address]:
        """Return the listed hosts of a domain that are not known to be gone.

        A host that was not heard of yet counts: at a start nobody was.
        """
        return [
            host.address
            for host in self
            if host.failure_domain == failure_domain and host.state not in NOT_THERE
        ]

    def get_domains(self) -> set[str]:
        """Return the failure domains of all listed hosts."""
        return {host.failure_domain for host in self if host.failure_domain}

    def count_heard(self) -> int:
        """Return how many other hosts were heard of and are not dead."""
        return sum(host.is_heard for host in self)
