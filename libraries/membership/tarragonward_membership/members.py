"""Keep the known state of the other hosts and list those available."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity

from . import const as c
from .messages import ListedHost, Member, MemberRecord, MemberState, RecordState

__all__ = ["UNAVAILABLE_STATES", "KnownHost", "Members"]

UNAVAILABLE_STATES = (MemberState.DEAD, MemberState.LEAVING)
MEMBER_STATES = {
    RecordState.ALIVE: MemberState.ALIVE,
    RecordState.LEAVING: MemberState.LEAVING,
    RecordState.SUSPECT: MemberState.SUSPECT,
    RecordState.DEAD: MemberState.DEAD,
}


@dataclass
class KnownHost:
    """A host's entry in the host list and its newest record, kept by address.

    record is None until a first record arrives; until then is_unreachable says that a
    probe of the listed host failed, and one such failure makes it dead without
    suspicion. last_seen_at is when the host last sent its record, or a newer one was
    applied, which may come from another host. A suspected host is declared dead at
    suspect_until.
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
        """Return the host's state as seen by this host."""
        if self.record is not None:
            state = MEMBER_STATES[self.record.state]
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
        """Return whether the host is considered dead."""
        return self.state is MemberState.DEAD

    @property
    def is_live(self) -> bool:
        """Return whether a record of the host arrived and it is not considered dead."""
        return self.record is not None and not self.is_dead

    def build_member(self) -> Member:
        """Return the public view of the host."""
        listed = self.listed or ListedHost(
            str(self.address), self.address, self.failure_domain, self.region, False
        )
        identity: HostIdentity | None = self.record and self.record.identity
        return Member(listed, identity, self.state)


class Members:
    """All other hosts by address: the listed ones and a bounded number of others."""

    def __init__(self, own: Address) -> None:
        self._own = own
        self._hosts: dict[Address, KnownHost] = {}

    def __len__(self) -> int:
        return len(self._hosts)

    def __iter__(self) -> Iterator[KnownHost]:
        return iter(self._hosts.values())

    def get(self, address: Address) -> KnownHost | None:
        """Return the host at an address, or None if it is unknown."""
        return self._hosts.get(address)

    def apply_list(self, hosts: tuple[ListedHost, ...], now: float) -> None:
        """Apply a host list.

        A list that is out of date may lack hosts that are running. Were they removed,
        they would disappear and return with the next list, and the watchers of targets
        would change each time. So a host that has a record is kept as unlisted until
        it has been silent for UNLISTED_RETENTION_SECONDS.
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
        self.remove_stale(now)

    def add_unlisted(self, address: Address, now: float) -> KnownHost | None:
        """Add an unlisted host; return None for this host or beyond the limit."""
        unlisted = sum(host.listed is None for host in self)
        if address == self._own or unlisted >= c.MAX_UNLISTED_MEMBERS:
            return None
        host = self._hosts[address] = KnownHost(address, last_seen_at=now)
        return host

    def remove_stale(self, now: float) -> None:
        """Remove unlisted hosts without a new record for UNLISTED_RETENTION_SECONDS."""
        for address, host in list(self._hosts.items()):
            is_stale = now - host.last_seen_at > c.UNLISTED_RETENTION_SECONDS
            if host.listed is None and is_stale:
                del self._hosts[address]

    def get_available(self, failure_domain: str) -> list[Address]:
        """Return the hosts of a domain that are neither dead nor leaving.

        A listed host without a record counts as available, because no records have
        arrived yet when this host starts.
        """
        return [
            host.address
            for host in self
            if host.failure_domain == failure_domain
            and host.state not in UNAVAILABLE_STATES
        ]

    def get_domains(self) -> set[str]:
        """Return the failure domains of all known hosts."""
        return {host.failure_domain for host in self if host.failure_domain}

    def count_live(self) -> int:
        """Return the number of other hosts that have a record and are not dead."""
        return sum(host.is_live for host in self)
