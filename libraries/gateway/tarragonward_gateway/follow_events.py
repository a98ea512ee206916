"""Define the events and effects of following the source of publications."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "ConfirmationAged",
    "FollowEffect",
    "FollowEvent",
    "HistoryLost",
    "MarkConfirmed",
    "PageRead",
    "Pause",
    "PeerDataApplied",
    "PeerPullFailed",
    "PeerReported",
    "PullFromPeer",
    "QuerySource",
    "ReadAll",
    "SourceAnswered",
    "SourceFailed",
    "Step",
    "Watch",
]


@dataclass(frozen=True)
class ReadAll:
    """Read all published records."""


@dataclass(frozen=True)
class Watch:
    """Watch the source for changes, for the given time at most."""

    seconds: float


@dataclass(frozen=True)
class Pause:
    """Send no query for the given time."""

    seconds: float


@dataclass(frozen=True)
class SourceAnswered:
    """The source answered.

    is_gap is set if its revision grew without a change in the answer. age_seconds is
    how old the answer may be: a full read takes time, and a host that was suspended
    processes an answer late.
    """

    has_changes: bool
    is_gap: bool = False
    age_seconds: float = 0.0


@dataclass(frozen=True)
class PageRead:
    """The source answered with a page of a full read that is not complete yet."""


@dataclass(frozen=True)
class SourceFailed:
    """The source gave no usable answer."""


@dataclass(frozen=True)
class HistoryLost:
    """The source no longer has the changes after this host's revision."""


@dataclass(frozen=True)
class PeerReported:
    """A peer reported which revision it holds.

    confirmed_age is the time since the source last confirmed the peer's data, to the
    peer itself or to a host that it heard from. has_later_table: the peer uses a later
    version of the table than this host.
    """

    name: str
    latest_revision: int
    confirmed_age: float
    has_later_table: bool = False


@dataclass(frozen=True)
class PeerDataApplied:
    """The records that a peer sent were applied."""


@dataclass(frozen=True)
class PeerPullFailed:
    """A peer sent no records: it serves too many others, or is unreachable."""

    name: str


@dataclass(frozen=True)
class ConfirmationAged:
    """The age of the last confirmation of this host's data, by source or peer."""

    age_seconds: float


@dataclass(frozen=True)
class PullFromPeer:
    """Ask a peer for the changes after this host's revision, or for all records."""

    name: str
    is_full: bool = False


@dataclass(frozen=True)
class QuerySource:
    """End the current watch or pause, and query the source now."""


@dataclass(frozen=True)
class MarkConfirmed:
    """Record that this host had all published data at the given age."""

    age_seconds: float


Step = ReadAll | Watch | Pause
FollowEvent = (
    SourceAnswered
    | PageRead
    | SourceFailed
    | HistoryLost
    | PeerReported
    | PeerDataApplied
    | PeerPullFailed
    | ConfirmationAged
)
FollowEffect = PullFromPeer | QuerySource | MarkConfirmed
