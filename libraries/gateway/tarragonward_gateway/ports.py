"""Define the interfaces between the gateway and the platform that it runs on."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from tarragonward_core import TarragonwardError
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import ReservationUse
from tarragonward_routes import RoutingTable
from tarragonward_wire import Connector

AnswerHandler = Callable[[RegisteredTarget, int, Mapping[str, str]], None]
ConnectorSource = Callable[[RegisteredTarget], Connector | None]

__all__ = [
    "AnswerHandler",
    "ConnectorSource",
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
    """The names of the headers exchanged with callers and targets, in lower case."""

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
    prompt_segments: str = "x-prompt-segments"
    helpers: str = "x-helper-engines"
    failed_target: str = "x-failed-target"
    target_name: str = "x-target"
    weight_versions: str = "x-weight-versions"
    leaving: str = "x-target-leaving"
    cold_ms: str = "x-target-cold-ms"


@dataclass(frozen=True)
class Paths:
    """The paths of requests from the platform and to the targets."""

    health: str = "/health"
    report: str = "/report"
    order: str = "/order"


@dataclass(frozen=True)
class Record:
    """A published item at a revision; its value is None once it was withdrawn."""

    key: str
    revision: int
    value: bytes | None = field(repr=False)


@dataclass(frozen=True)
class Records:
    """Items, and the source's revision up to which they are complete.

    age_seconds is how long ago the source sent them: a large answer takes time.
    """

    records: tuple[Record, ...]
    revision: int
    age_seconds: float = 0.0


@dataclass(frozen=True)
class Page:
    """A page of all items in the order of keys, at a revision.

    next_after is the key to continue after, None on the last page.
    """

    records: tuple[Record, ...]
    revision: int
    next_after: str | None = None


class SourceError(TarragonwardError):
    """Report that the source of publications gave no usable answer."""


class HistoryLostError(SourceError):
    """Report that the source lacks the requested changes: a full read is needed."""


class RecordReader(Protocol):
    """Reads published items; raises SourceError if the source does not answer.

    Revisions order all changes. Those of a source that came back from a copy are built
    by combine_revision; a watch from an earlier epoch raises HistoryLostError.

    inactivity_timeout is for how many seconds the source may send nothing, before its
    answer or within it; an answer that keeps arriving is not cut off.
    """

    async def async_read_page(self, after: str, inactivity_timeout: float) -> Page:
        """Return the items after a key, the first ones if the key is empty.

        Pages are no common snapshot: each has its own revision.
        """

    async def async_watch(
        self, after: int, wait: float, inactivity_timeout: float
    ) -> Records:
        """Return the changes after a revision, or none after wait seconds.

        The source may be silent for inactivity_timeout longer than the wait.
        """


class RecordParser(Protocol):
    """Parses published items into routing tables and targets."""

    def is_table(self, key: str) -> bool:
        """Return whether the routing table is published under a key."""

    def parse_table(self, record: Record) -> RoutingTable | None:
        """Return the routing table of a record, None if it has none."""

    def parse_target(self, record: Record) -> RegisteredTarget | None:
        """Return the target that a record registers, None if it registers none."""

    def get_evacuated_domain(self, key: str) -> str | None:
        """Return the failure domain whose evacuation a key orders, else None."""

    def get_target_name(self, key: str) -> str | None:
        """Return the name of the target that a key belongs to, None for other keys."""


@dataclass(frozen=True)
class Reservation:
    """Memory of a target to reserve under an id; renewals use the same values."""

    id: str
    target: RegisteredTarget
    tokens: int
    hold_seconds: float


@dataclass(frozen=True)
class ReservationAnswer:
    """A target's answer to a reservation.

    incarnation identifies the target's boot, None if the target does not tell it.
    """

    is_held: bool
    incarnation: int | None = None


class ReservationClient(Protocol):
    """Reserves and releases memory of targets; raises TargetError without an answer.

    on_answer is called with the target, status and headers of each answer; the names of
    headers are in lower case. get_connector returns what replaces the connection to a
    target's address, None if nothing does.
    """

    on_answer: AnswerHandler
    get_connector: ConnectorSource

    async def async_reserve(
        self, reservation: Reservation, timeout: float
    ) -> ReservationAnswer:
        """Make or renew a reservation; return the target's answer."""

    async def async_release(self, reservation: Reservation, timeout: float) -> bool:
        """End a reservation; return whether the target confirmed the end."""

    async def async_read_use(
        self, reservation: Reservation, timeout: float
    ) -> ReservationUse:
        """Return what the target reports of a reservation."""
