"""Decide who is there: the published list says who should be."""

from __future__ import annotations

from collections.abc import Iterable

from tarragonward_core import Address, HostIdentity

from .messages import ListedHost, Member, MemberState

__all__ = ["Membership"]


class Membership:
    """Hold this host's view of the others: a hint, never ground for a promise."""

    def __init__(self, identity: HostIdentity) -> None:
        self.identity = identity
        self._members: dict[Address, Member] = {}

    def replace_list(self, hosts: Iterable[ListedHost], now: float) -> None:
        """Take over a host list as published."""
        listed = {host.address: host for host in hosts}
        listed.pop(self.identity.address, None)
        self._members = {
            address: self._build_member(host) for address, host in listed.items()
        }

    def get_members(self) -> list[Member]:
        """Return all other hosts that are listed."""
        return list(self._members.values())

    def _build_member(self, host: ListedHost) -> Member:
        state = MemberState.LEAVING if host.is_leaving else MemberState.LISTED
        return Member(host, None, state)
