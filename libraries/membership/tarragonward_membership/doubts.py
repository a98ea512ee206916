"""Probe incarnations of hosts that were queried but have no record."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity

from . import const as c

__all__ = ["UnconfirmedIncarnations"]


@dataclass
class _PendingCheck:
    asked_at: float
    next_probe_at: float
    failures: int = 0


class UnconfirmedIncarnations:
    """Incarnations to probe until any incarnation answers at their address."""

    def __init__(self) -> None:
        self._checks: OrderedDict[HostIdentity, _PendingCheck] = OrderedDict()

    def add(self, identity: HostIdentity, now: float) -> None:
        """Start to check an incarnation, unless it is being checked already."""
        if identity not in self._checks:
            self._checks[identity] = _PendingCheck(now, now)
        if len(self._checks) > c.MAX_UNCONFIRMED:
            self._checks.popitem(last=False)

    def take_due(self, now: float) -> list[Address]:
        """Return the addresses to probe now, and remove expired checks."""
        due = []
        for identity, check in list(self._checks.items()):
            if now - check.asked_at > c.UNCONFIRMED_RETENTION_SECONDS:
                del self._checks[identity]
            elif now >= check.next_probe_at:
                check.next_probe_at = now + c.UNCONFIRMED_PROBE_INTERVAL_SECONDS
                due.append(identity.address)
        return list(dict.fromkeys(due))

    def has_address(self, address: Address) -> bool:
        """Return whether an incarnation at this address is being checked."""
        return any(identity.address == address for identity in self._checks)

    def record_answer(self, address: Address) -> None:
        """End the checks of an address because a host answered there."""
        for identity in [i for i in self._checks if i.address == address]:
            del self._checks[identity]

    def record_failure(self, address: Address, sent_at: float) -> None:
        """Count a failure: neither the direct nor the indirect probes were answered."""
        for identity, check in self._checks.items():
            if identity.address == address and sent_at >= check.asked_at:
                check.failures += 1

    def is_silent(self, identity: HostIdentity, seconds: float, now: float) -> bool:
        """Return whether enough probes failed over at least this many seconds."""
        check = self._checks.get(identity)
        if check is None or check.failures < c.UNCONFIRMED_MIN_FAILURES:
            return False
        return now - check.asked_at >= seconds

    def reset(self, now: float) -> None:
        """Restart all checks: this process was paused and could not read answers."""
        for check in self._checks.values():
            check.asked_at, check.failures = now, 0
