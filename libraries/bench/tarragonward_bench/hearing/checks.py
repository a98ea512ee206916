"""Compare what a host holds with what the source has published."""

from __future__ import annotations

from tarragonward_gateway.ports import Record

from .host import Host
from .world import TABLE_KEY

__all__ = [
    "Log",
    "MissedChange",
    "find_missed_change",
    "find_version",
    "find_wrong_key",
]

# Each change with the time of its acknowledgement, and one of them that a host lacks.
Log = list[tuple[float, Record]]
MissedChange = tuple[float, str, int]


def find_missed_change(host: Host, log: Log, until: float) -> MissedChange | None:
    """Return the earliest change up to a time that the host has not applied."""
    missed = None
    for at, record in reversed(log):
        if record.revision <= host.record_store.complete_revision:
            break
        if at <= until and record.revision > host.record_store.latest_revision:
            missed = at, record.key, record.revision
    return missed


def find_wrong_key(host: Host, log: Log, until: float) -> str | None:
    """Return a key that did not change since a time, and has another value here."""
    held = {r.key: r.value for r in host.record_store.get_since(0).records}
    changed = {record.key for at, record in log if at > until}
    published = {record.key: record.value for at, record in log if at <= until}
    for key, value in published.items():
        if key not in changed and key != TABLE_KEY and held.get(key) != value:
            return key
    return None


def find_version(log: Log, until: float) -> int:
    """Return the version of the last table that was published up to a time."""
    for at, record in reversed(log):
        if record.key == TABLE_KEY and record.value is not None and at <= until:
            return int(record.value)
    return 0
