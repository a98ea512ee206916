"""Cut a host of the platform's stand-in off from runners, and check who was served."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from pathlib import Path

from tarragonward_core import Address

from .fault_proxy import FaultProxy
from .host_process import write_links
from .platform_clients import Attempt, ClientRequest

__all__ = ["CutKind", "HostLinks", "LinkCut", "find_neglected_callers"]

STABLE_SECONDS = 3.0
MIN_SERVED_RATIO = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_FAILURE_SHARE = 1 / 50
NEVER = float("inf")


class CutKind(Enum):
    """What a cut does: new connections hang or are refused; open ones as named."""

    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(eq=False)
class LinkCut:
    """A time in which a host could connect to no runner."""

    host: Address
    began_at: float
    ended_at: float = NEVER

    def covers(self, at: float) -> bool:
        """Return whether the cut is old enough at this time for the rule to count."""
        return self.began_at + STABLE_SECONDS <= at < self.ended_at


class HostLinks:
    """The links of one host to the runners, as its process and the proxies see them."""

    def __init__(self, host: Address, path: Path) -> None:
        self._host = host
        self.path = path
        self.cuts: list[LinkCut] = []
        self._kind: CutKind | None = None
        self._cut_off: list[Address] = []
        self._write()

    def cut(self, proxies: Mapping[Address, FaultProxy], kind: CutKind) -> None:
        """Cut the host off from all runners, given by address with their proxies."""
        self._kind, self._cut_off = kind, list(proxies)
        self._write()
        for proxy in proxies.values():
            if kind is CutKind.RESET:
                proxy.abort_connections(self._host.host)
            elif kind is CutKind.SILENT:
                proxy.blackhole_open_connections(self._host.host)
        now = asyncio.get_running_loop().time()
        self.cuts.append(LinkCut(self._host, now))

    def add_runner(self, address: Address) -> None:
        """Cut the host off from a runner that starts during a cut, too."""
        if self._kind is not None:
            self._cut_off.append(address)
            self._write()

    def restore(self) -> None:
        """End the cut; connections that it silenced stay silent."""
        self._kind, self._cut_off = None, []
        self._write()
        if self.cuts:
            now = asyncio.get_running_loop().time()
            self.cuts[-1].ended_at = min(self.cuts[-1].ended_at, now)

    def _write(self) -> None:
        is_silent = self._kind is CutKind.SILENT
        write_links(self.path, self._host.host, self._cut_off, is_silent)


@dataclass
class _Served:
    sent: int = 0
    served: int = 0

    def count(self, attempt: Attempt) -> None:
        self.sent += 1
        self.served += attempt.is_complete and attempt.status // 100 == 2

    @property
    def failed(self) -> int:
        return self.sent - self.served


def find_neglected_callers(
    requests: Iterable[ClientRequest], cuts: Sequence[LinkCut]
) -> str | None:
    """Return what breaks the rule on hosts cut off from all runners, None if kept.

    First attempts at such hosts must be served at least MIN_SERVED_RATIO as often as
    those at the others in the same time, beyond a few failures.
    """
    attempts = [request.attempts[0] for request in requests if request.attempts]
    attempts = [each for each in attempts if not _is_left_by_plan(each)]
    at_cut, elsewhere = _Served(), _Served()
    for attempt in sorted(attempts, key=lambda each: each.ended_at or NEVER):
        covering = [cut for cut in cuts if cut.covers(attempt.sent_at)]
        if not covering:
            continue
        is_cut = any(cut.host == attempt.node for cut in covering)
        (at_cut if is_cut else elsewhere).count(attempt)
        tolerated = TOLERATED_FAILURES + TOLERATED_FAILURE_SHARE * (
            at_cut.sent + elsewhere.sent
        )
        # Compared without a division, as either side may have no attempt.
        is_neglected = (
            at_cut.served * elsewhere.sent
            < MIN_SERVED_RATIO * elsewhere.served * at_cut.sent
        )
        if is_neglected and at_cut.failed > tolerated:
            return (
                f"{at_cut.served} of {at_cut.sent} first attempts at hosts cut off, "
                f"{elsewhere.served} of {elsewhere.sent} at the others"
            )
    return None


def _is_left_by_plan(attempt: Attempt) -> bool:
    """Return whether the client left by its plan; a deadline is no plan."""
    return attempt.has_disconnected and attempt.leaves_early
