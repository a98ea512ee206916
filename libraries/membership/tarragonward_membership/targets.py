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
class _TargetState:
    live_at: float
    leaving_at: float | None = None
    missing_reads: int = 0


class TargetList:
    """The states of targets in the host lists read so far.

    Replicas of the list lag by different times. Read in turn, one may list a target as
    leaving and the next as live, and every second read would send it new work. So a
    target stays leaving for LEAVING_HOLD_SECONDS after the last list that said so. A
    target missing from MISSING_LIST_READS lists in a row counts as leaving until a list
    has it again; fewer misses change nothing.
    """

    def __init__(self) -> None:
        self._states: dict[str, _TargetState] = {}

    def apply_list(self, targets: Iterable[ListedTarget], now: float) -> None:
        """Apply a list; ignore an empty one, which a newly started replica returns."""
        listed = {target.name: target for target in targets}
        if not listed:
            return
        for name, target in listed.items():
            state = self._states.setdefault(name, _TargetState(now))
            state.missing_reads = 0
            if target.is_leaving:
                state.leaving_at = now
            else:
                state.live_at = now
        for name in self._states.keys() - listed.keys():
            self._states[name].missing_reads += 1

    def get_leaving(self, published: Iterable[str], now: float) -> frozenset[str]:
        """Return targets that take no new work; forget unpublished ones not listed."""
        names = set(published)
        for name in self._states.keys() - names:
            if self._states[name].missing_reads >= c.MISSING_LIST_READS:
                del self._states[name]
        return frozenset(name for name in self._states if self._is_leaving(name, now))

    def _is_leaving(self, name: str, now: float) -> bool:
        state = self._states[name]
        if state.missing_reads >= c.MISSING_LIST_READS:
            return True
        if state.leaving_at is None:
            return False
        is_recent = now - state.leaving_at < c.LEAVING_HOLD_SECONDS
        return is_recent or state.leaving_at >= state.live_at
