"""Find out about lives of hosts that were asked about and never heard of."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity

from . import const as c

__all__ = ["Doubts"]


@dataclass
class _Doubt:
    asked_at: float
    next_probe_at: float
    failures: int = 0


class Doubts:
    """Each doubted life is probed until it, or another at its address, answers."""

    def __init__(self) -> None:
        self._doubts: OrderedDict[HostIdentity, _Doubt] = OrderedDict()

    def add(self, identity: HostIdentity, now: float) -> None:
        """Ask about a life, unless that was asked already."""
        if identity not in self._doubts:
            self._doubts[identity] = _Doubt(now, now)
        if len(self._doubts) > c.MAX_DOUBTS:
            self._doubts.popitem(last=False)

    def take_due(self, now: float) -> list[Address]:
        """Return the addresses to probe now, and forget old doubts."""
        due = []
        for identity, doubt in list(self._doubts.items()):
            if now - doubt.asked_at > c.FORGET_DOUBT_SECONDS:
                del self._doubts[identity]
            elif now >= doubt.next_probe_at:
                doubt.next_probe_at = now + c.DOUBT_PROBE_SECONDS
                due.append(identity.address)
        return list(dict.fromkeys(due))

    def is_asked(self, address: Address) -> bool:
        """Return whether a life at this address is in doubt."""
        return any(identity.address == address for identity in self._doubts)

    def note_answer(self, address: Address) -> None:
        """Note that somebody answers at the address: no silence, no doubt."""
        for identity in [i for i in self._doubts if i.address == address]:
            del self._doubts[identity]

    def note_failure(self, address: Address, sent_at: float) -> None:
        """Note that a probe and its helpers got no answer from the address."""
        for identity, doubt in self._doubts.items():
            if identity.address == address and sent_at >= doubt.asked_at:
                doubt.failures += 1

    def is_silent(self, identity: HostIdentity, seconds: float, now: float) -> bool:
        """Return whether its address was silent this long and to enough probes."""
        doubt = self._doubts.get(identity)
        if doubt is None or doubt.failures < c.DOUBT_FAILURES:
            return False
        return now - doubt.asked_at >= seconds

    def start_again(self, now: float) -> None:
        """Count silence afresh, as this process did not listen itself."""
        for doubt in self._doubts.values():
            doubt.asked_at, doubt.failures = now, 0
