"""Hold and gossip the load of targets, newest first, within a byte limit."""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping
from dataclasses import dataclass

from tarragonward_core import FrameError

from . import const as c
from .encoding import MAX_STEP, dequantise, hash_name, quantise

__all__ = ["LoadDigest", "LoadReport"]

ENTRY_STRUCT = struct.Struct(">IBBBBBB")


@dataclass(frozen=True)
class LoadReport:
    """Load of a target, read at reported_at in this host's monotonic seconds."""

    target: str
    free_kv_tokens: int
    queued_prefill_tokens: int
    running: int
    reported_at: float
    queued_long_tokens: int = 0
    prefill_tokens_per_second: int = 0


@dataclass
class _HeldReport:
    report: LoadReport
    times_sent_local: int = 0
    times_sent_remote: int = 0


class LoadDigest:
    """The newest load report of each published target."""

    def __init__(self) -> None:
        self._reports: dict[int, _HeldReport] = {}
        self._names: dict[int, str] = {}
        self._local_targets: set[int] = set()

    def set_targets(self, targets: Mapping[str, bool]) -> None:
        """Set the published targets, and whether each is in the own failure domain."""
        self._names = {hash_name(name): name for name in targets}
        self._local_targets = {
            hash_name(name) for name, is_local in targets.items() if is_local
        }
        for key in self._reports.keys() - self._names.keys():
            del self._reports[key]

    def record(self, report: LoadReport) -> bool:
        """Store a report if it is newer than the one held; return whether it was."""
        key = hash_name(report.target)
        held = self._reports.get(key)
        if key not in self._names or not _is_newer(report, held):
            return False
        self._reports[key] = _HeldReport(report)
        return True

    def get(self, target: str) -> LoadReport | None:
        """Return the newest report of a target, or None."""
        held = self._reports.get(hash_name(target))
        return None if held is None else held.report

    def encode(self, max_bytes: int, is_local: bool, now: float) -> bytes:
        """Return the encoded reports for one message to the own or another domain.

        Each report is sent a bounded number of times. Other domains only get reports
        of this domain's targets, as they have newer reports of their own.
        """
        due = [
            (key, held)
            for key, held in self._reports.items()
            if (is_local or key in self._local_targets)
            and _get_times_sent(held, is_local) < c.LOAD_TRANSMISSIONS
            and now - held.report.reported_at < c.MAX_LOAD_AGE_SECONDS
        ]
        due.sort(
            key=lambda item: (
                _get_times_sent(item[1], is_local),
                -_get_reported_at(item),
            )
        )
        chosen = due[: max_bytes // ENTRY_STRUCT.size]
        for _, held in chosen:
            if is_local:
                held.times_sent_local += 1
            else:
                held.times_sent_remote += 1
        return b"".join(_pack(key, held.report, now) for key, held in chosen)

    def merge(self, data: bytes, now: float) -> None:
        """Merge the reports of a message; raise FrameError if it is malformed."""
        if len(data) % ENTRY_STRUCT.size:
            raise FrameError(f"malformed load digest: {len(data)} bytes")
        for key, free, queued, running, age, long, rate in ENTRY_STRUCT.iter_unpack(
            data
        ):
            name = self._names.get(key)
            if name is not None:
                reported_at = now - age * c.AGE_STEP_SECONDS
                self.record(
                    LoadReport(
                        name,
                        int(dequantise(free)),
                        int(dequantise(queued)),
                        round(dequantise(running)),
                        reported_at,
                        int(dequantise(long)),
                        int(dequantise(rate)),
                    )
                )


def _pack(key: int, report: LoadReport, now: float) -> bytes:
    # Rounded up, so that a report never appears younger at the receiver.
    age = math.ceil((now - report.reported_at) / c.AGE_STEP_SECONDS)
    return ENTRY_STRUCT.pack(
        key,
        quantise(report.free_kv_tokens),
        quantise(report.queued_prefill_tokens),
        quantise(report.running),
        min(max(age, 0), MAX_STEP),
        quantise(report.queued_long_tokens),
        quantise(report.prefill_tokens_per_second),
    )


def _is_newer(report: LoadReport, held: _HeldReport | None) -> bool:
    # The age in a message does not include its transit time, so a report that comes
    # back from a peer appears slightly newer and would circulate forever. The margin
    # exceeds the usual transit time.
    margin = c.AGE_MARGIN_SECONDS
    return held is None or report.reported_at > held.report.reported_at + margin


def _get_times_sent(held: _HeldReport, is_local: bool) -> int:
    return held.times_sent_local if is_local else held.times_sent_remote


def _get_reported_at(item: tuple[int, _HeldReport]) -> float:
    return item[1].report.reported_at
