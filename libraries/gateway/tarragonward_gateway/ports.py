"""Define what the gateway needs of the platform that it runs on."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from tarragonward_core import TarragonwardError
from tarragonward_membership import RegisteredTarget
from tarragonward_routes import RoutingTable

__all__ = [
    "HeaderNames",
    "HistoryLostError",
    "Page",
    "Paths",
    "Record",
    "RecordParser",
    "RecordReader",
    "Records",
    "Reservation",
    "SourceError",
    "ReservationClient",
]


@dataclass(frozen=True)
class HeaderNames:
    """The header names towards callers and targets, in lower case."""

    request_id: str = "x-request-id"
    deadline_ms: str = "x-time-limit-ms"
    caller_key: str = "x-api-key"
    account: str = "x-client-account"
    expected_target: str = "x-expected-target"
    seal: str = "x-answer-seal"
    not_run: str = "x-did-not-run"
    load: str = "x-target-load"
    limit: str = "x-target-limit"
    last_event_id: str = "last-event-id"
    priority: str = "x-priority"
    token_counts: str = "x-tokens"
    helpers: str = "x-helper-engines"
    failed_target: str = "x-failed-target"


@dataclass(frozen=True)
class Paths:
    """The paths that the platform and the targets are asked at."""

    health: str = "/health"
    report: str = "/report"
    order: str = "/order"


@dataclass(frozen=True)
class Record:
    """A published item as it was at a revision; a value of None: it was withdrawn."""

    key: str
    revision: int
    value: bytes | None = field(repr=False)


@dataclass(frozen=True)
class Records:
    """Items, and the source's revision that they are complete up to.

    age_seconds is how long ago the source gave them: a large answer takes its time.
    """

    records: tuple[Record, ...]
    revision: int
    age_seconds: float = 0.0


@dataclass(frozen=True)
class Page:
    """Some of all items by key, at a revision; next_after is None on the last page."""

    records: tuple[Record, ...]
    revision: int
    next_after: str | None = None


class SourceError(TarragonwardError):
    """Report that the source of publications gave no answer that can be used."""


class HistoryLostError(SourceError):
    """Report that the source no longer has the changes asked for: read all anew."""


class RecordReader(Protocol):
    """Reads what is published; raises SourceError where the source is silent.

    silence_timeout is for how many seconds the source may send nothing, before its
    answer and within it; an answer that keeps coming is waited for.
    """

    async def async_read_page(self, after: str, silence_timeout: float) -> Page:
        """Return the items whose keys follow a key, the first ones where it is empty.

        Pages are no snapshot: each is as of its own revision.
        """

    async def async_watch(
        self, after: int, wait: float, silence_timeout: float
    ) -> Records:
        """Return what changed after a revision, or nothing after wait seconds.

        The source may be silent for silence_timeout beyond the wait.
        """


class RecordParser(Protocol):
    """Turns published items into the product's own data."""

    def is_table(self, key: str) -> bool:
        """Return whether the routing table is published under a key."""

    def parse_table(self, record: Record) -> RoutingTable | None:
        """Return the routing table of a record, None where it holds none."""

    def parse_target(self, record: Record) -> RegisteredTarget | None:
        """Return the target that a record registers, None where it holds none."""

    def get_target_name(self, key: str) -> str | None:
        """Return the name of the target that a key belongs to, None for other keys."""


@dataclass(frozen=True)
class Reservation:
    """Memory of a target that is to be held under an id; a renewal is the same."""

    id: str
    target: RegisteredTarget
    tokens: int
    hold_seconds: float


@dataclass(frozen=True)
class ReservationAnswer:
    """What a target says of a reservation; incarnation where it tells which boot."""

    is_held: bool
    incarnation: int | None = None


class ReservationClient(Protocol):
    """Orders to targets; raises TargetError where no answer came."""

    async def async_reserve(
        self, reservation: Reservation, timeout: float
    ) -> ReservationAnswer:
        """Hold or renew a reservation; return the target's answer."""

    async def async_release(self, reservation: Reservation, timeout: float) -> bool:
        """End a reservation; return whether the target has said that it is ended."""
