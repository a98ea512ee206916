"""Keep and pass on the load of targets, newest first, below a byte cap."""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass

from tarragonward_core import FrameError

from . import const as c
from .scales import MAX_STEP, expand, hash_name, quantise

__all__ = ["LoadDigest", "LoadReport"]

ENTRY = struct.Struct(">IBBBBBB")


@dataclass(frozen=True)
class LoadReport:
    """A target's load as it was read at reported_at, in monotonic seconds here."""

    target: str
    free_kv_tokens: int
    queued_prefill_tokens: int
    running: int
    reported_at: float
    queued_long_tokens: int = 0
    prefill_tokens_per_second: int = 0


@dataclass
class _Held:
    report: LoadReport
    sent_near: int = 0
    sent_far: int = 0


class LoadDigest:
    """The newest report of each published target; nothing else is kept."""

    def __init__(self) -> None:
        self._held: dict[int, _Held] = {}
        self._names: dict[int, str] = {}
        self._near: set[int] = set()

    def set_targets(self, targets: Mapping[str, bool]) -> None:
        """Say which targets are published, and whether each is in the own domain."""
        self._names = {hash_name(name): name for name in targets}
        self._near = {hash_name(name) for name, is_near in targets.items() if is_near}
        for key in self._held.keys() - self._names.keys():
            del self._held[key]

    def record(self, report: LoadReport) -> bool:
        """Take over a report if it is newer than the one held."""
        key = hash_name(report.target)
        held = self._held.get(key)
        if key not in self._names or not _is_newer(report, held):
            return False
        self._held[key] = _Held(report)
        return True

    def get(self, target: str) -> LoadReport | None:
        """Return the newest report of a target."""
        held = self._held.get(hash_name(target))
        return None if held is None else held.report

    def take(self, max_bytes: int, is_near: bool, now: float) -> bytes:
        """Return entries for one message to a host of the own or another domain.

        Each report is sent a bounded number of times. To other domains go only the
        own domain's targets, as theirs are known there better.
        """
        fresh = [
            (key, held)
            for key, held in self._held.items()
            if (is_near or key in self._near)
            and _count_sent(held, is_near) < c.LOAD_TRANSMISSIONS
            and now - held.report.reported_at < c.MAX_LOAD_AGE_SECONDS
        ]
        fresh.sort(key=lambda item: (_count_sent(item[1], is_near), -_get_time(item)))
        chosen = fresh[: max_bytes // ENTRY.size]
        for _, held in chosen:
            if is_near:
                held.sent_near += 1
            else:
                held.sent_far += 1
        return b"".join(_pack(key, held.report, now) for key, held in chosen)

    def merge(self, data: bytes, now: float) -> None:
        """Take over the entries of a message; raise FrameError if it holds others."""
        if len(data) % ENTRY.size:
            raise FrameError(f"a load digest of {len(data)} bytes")
        for key, free, queued, running, age, long, rate in ENTRY.iter_unpack(data):
            name = self._names.get(key)
            if name is not None:
                reported_at = now - age * c.AGE_STEP_SECONDS
                self.record(
                    LoadReport(
                        name,
                        int(expand(free)),
                        int(expand(queued)),
                        round(expand(running)),
                        reported_at,
                        int(expand(long)),
                        int(expand(rate)),
                    )
                )


def _pack(key: int, report: LoadReport, now: float) -> bytes:
    # Rounded up, so that a report never grows younger on its way.
    age = math.ceil((now - report.reported_at) / c.AGE_STEP_SECONDS)
    return ENTRY.pack(
        key,
        quantise(report.free_kv_tokens),
        quantise(report.queued_prefill_tokens),
        quantise(report.running),
        min(max(age, 0), MAX_STEP),
        quantise(report.queued_long_tokens),
        quantise(report.prefill_tokens_per_second),
    )


def _is_newer(report: LoadReport, held: _Held | None) -> bool:
    # The way takes time that the age does not count, so a report that comes back
    # looks a little newer. Symptom: it goes round for ever. A margin above the way's
    # usual length ends that.
    margin = c.AGE_MARGIN_SECONDS
    return held is None or report.reported_at > held.report.reported_at + margin


def _count_sent(held: _Held, is_near: bool) -> int:
    return held.sent_near if is_near else held.sent_far


def _get_time(item: tuple[int, _Held]) -> float:
    return item[1].report.reported_at
