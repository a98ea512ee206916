"""Decide which targets are leaving, from host lists that lag and disagree."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from . import const as c

__all__ = ["ListedTarget", "TargetList"]


@dataclass(frozen=True)
class ListedTarget:
    """A target's entry in the host list."""

    name: str
    is_leaving: bool


@dataclass
class _Seen:
    live_at: float
    leaving_at: float | None = None
    missing: int = 0


class TargetList:
    """What the lists said of each target, and when.

    Replicas of the list lag each by its own time. Symptom: read in turn, one says
    leaving and the next live, and every second read sends new work to a target that
    leaves. So "leaving" holds for a while after the last list that said it. A target
    missing from one list is no news; missing from several in a row it is gone, until
    a list has it again.
    """

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def apply_list(self, targets: Iterable[ListedTarget], now: float) -> None:
        """Take over a list; an empty one, which a fresh replica gives, is no news."""
        listed = {target.name: target for target in targets}
        if not listed:
            return
        for name, target in listed.items():
            seen = self._seen.setdefault(name, _Seen(now))
            seen.missing = 0
            if target.is_leaving:
                seen.leaving_at = now
            else:
                seen.live_at = now
        for name in self._seen.keys() - listed.keys():
            self._seen[name].missing += 1

    def get_leaving(self, published: Iterable[str], now: float) -> frozenset[str]:
        """Return the published targets that take no new work; forget all others."""
        names = set(published)
        for name in self._seen.keys() - names:
            if self._seen[name].missing >= c.MISSING_READS:
                del self._seen[name]
        return frozenset(name for name in self._seen if self._is_leaving(name, now))

    def _is_leaving(self, name: str, now: float) -> bool:
        seen = self._seen[name]
        if seen.missing >= c.MISSING_READS:
            return True
        if seen.leaving_at is None:
            return False
        is_recent = now - seen.leaving_at < c.LEAVING_HOLD_SECONDS
        return is_recent or seen.leaving_at >= seen.live_at
