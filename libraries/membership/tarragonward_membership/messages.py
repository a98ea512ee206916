"""Define what membership hears and says."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from tarragonward_core import Address, HostIdentity

__all__ = ["ListedHost", "Member", "MemberState"]


class MemberState(Enum):
    """What this host believes of another."""

    LISTED = "listed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedHost:
    """An entry of the platform's host list, which lags."""

    name: str
    address: Address
    failure_domain: str
    region: str
    is_leaving: bool


@dataclass(frozen=True)
class Member:
    """Another host as this host sees it; identity is None until it was heard of."""

    listed: ListedHost
    identity: HostIdentity | None
    state: MemberState
    configuration_number: int = 0
