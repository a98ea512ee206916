"""Decide when to ask the source of publications, and when a peer."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import singledispatch

from . import const as c
from .readers import PollingOrder

__all__ = [
    "PullFromPeer",
    "QuerySource",
    "MarkConfirmed",
    "FollowEffect",
    "FollowEvent",
    "Follower",
    "HistoryLost",
    "PageRead",
    "Pause",
    "PeerDataApplied",
    "PeerPullFailed",
    "PeerReported",
    "ReadAll",
    "SourceAnswered",
    "SourceFailed",
    "Step",
    "ConfirmationAged",
    "Watch",
]


@dataclass(frozen=True)
class ReadAll:
    """Read all that is published."""


@dataclass(frozen=True)
class Watch:
    """Wait for changes, seconds at most."""

    seconds: float


@dataclass(frozen=True)
class Pause:
    """Ask nothing for so many seconds."""

    seconds: float


@dataclass(frozen=True)
class SourceAnswered:
    """The source answered; is_gap where its revision grew and no change was told.

    age_seconds is how old the answer may be: a reading takes time, and a host that
    stood still takes an answer late.
    """

    has_changes: bool
    is_gap: bool = False
    age_seconds: float = 0.0


@dataclass(frozen=True)
class PageRead:
    """The source answered with a page of a reading that goes on."""


@dataclass(frozen=True)
class SourceFailed:
    """The source gave no answer that can be used."""


@dataclass(frozen=True)
class HistoryLost:
    """The source no longer has the changes after the book's revision."""


@dataclass(frozen=True)
class PeerReported:
    """What a peer holds; confirmed_age is since anyone it knows had an answer."""

    name: str
    changed_revision: int
    confirmed_age: float


@dataclass(frozen=True)
class PeerDataApplied:
    """A peer gave all that it holds, and it was taken in."""


@dataclass(frozen=True)
class PeerPullFailed:
    """A peer that was asked gave nothing: it gives to many, or is out of reach."""

    name: str


@dataclass(frozen=True)
class ConfirmationAged:
    """What the host holds was last confirmed so long ago, by the source or a peer."""

    age_seconds: float


@dataclass(frozen=True)
class PullFromPeer:
    """Ask a peer for what changed after the book's revision."""

    name: str


@dataclass(frozen=True)
class QuerySource:
    """Give up the watch in progress, or the pause, and ask the source now."""


@dataclass(frozen=True)
class MarkConfirmed:
    """All that was published so many seconds ago is in the book."""

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


class Follower:
    """Follow the source with few calls, and the peers where it does not answer.

    Each call is priced, and one watch a host wakes for each change. So watches wait
    long, the longer the more hosts there are, and one ends about each second.
    A peer that holds a newer record shows a watch that died in silence.
    """

    def __init__(self, rng: random.Random, now: float, start_wait: float = 0.0) -> None:
        self._random = rng
        self._started_at = now
        self._must_read = True
        # Whether the source has answered, and whether a peer gave what is held before.
        self._has_source_answered = False
        self._has_peer_data = False
        self._was_woken = True
        # Hosts that start at once would all read all. Symptom: the source refuses most
        # of their calls, and a large fleet serves only seconds after its start. Those
        # that wait, at first and after a page of many, are fed by the first; alone,
        # they read after the wait.
        self._defers_first_read = start_wait > 0.0
        self._start_wait = start_wait
        self._pause_until = now + min(start_wait, c.SEED_ANSWER_SECONDS)
        self._changed_at = float("-inf")
        self._behind_since: float | None = None
        self._newest_reported = 0
        self._pulled_at = float("-inf")
        # The peers that told last of more than this host held.
        self._peers_ahead: dict[str, None] = {}
        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._last_outage_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._has_tried_recovery = False
        self._relies_on_others = False
        self._is_watching = False
        self._is_reading = False
        self.failures = 0

    def choose_step(
        self, place: PollingOrder, confirmed_age: float, now: float
    ) -> Step:
        """Return what to do now; confirmed_age is that of what the host holds."""
        self._confirmed_at = now - confirmed_age
        step = self._choose_step(place, confirmed_age, now)
        self._is_watching = isinstance(step, Watch)
        self._is_reading = isinstance(step, ReadAll)
        return step

    def _choose_step(
        self, place: PollingOrder, confirmed_age: float, now: float
    ) -> Step:
        reliance_left = self._compute_reliance_left(place, confirmed_age)
        self._relies_on_others = reliance_left > 0.0
        if self._relies_on_others:
            self._clear_failures(now)
            return Pause(max(reliance_left, c.STANDBY_CHECK_SECONDS))
        if now < self._pause_until:
            return Pause(self._pause_until - now)
        if self._must_read:
            return ReadAll()
        if place.standby_rank is not None or self._has_peer_data:
            return Watch(c.STANDBY_WATCH_SECONDS)
        return Watch(self._choose_watch_seconds(place))

    def _compute_reliance_left(
        self, place: PollingOrder, confirmed_age: float
    ) -> float:
        """Return how much longer others ask for this host.

        Its readers may be dead, frozen or cut off from it or from the source. Symptom:
        work goes to targets that left. What was confirmed of late was so old at most,
        whoever confirmed it, so it is enough to ask once that age is too great. The
        first of a group asks shortly, which confirms for all that hear it, and groups
        begin one after the other, as one that is answered confirms for all of them.
        """
        if place.standby_rank is None:
            return 0.0
        wait = (
            c.STANDBY_POLL_AGE_SECONDS
            + place.group_fraction * c.STANDBY_GROUP_SPREAD_SECONDS
        )
        return wait + place.standby_rank * c.STANDBY_RANK_STEP_SECONDS - confirmed_age

    def _choose_watch_seconds(self, place: PollingOrder) -> float:
        hosts = place.poller_count
        if place.group:
            wait = min(c.MAX_WATCH_SECONDS, hosts * c.POLLER_WATCH_STAGGER_SECONDS)
            return wait * (place.rank + 1) / hosts if self._was_woken else wait
        # A change wakes all watches at once. Symptom: they also end at once, and for
        # seconds nobody knows whether anything is new. Places keep their ends apart.
        slot = max(c.WATCH_STAGGER_SECONDS, c.MIN_WATCH_SECONDS / hosts)
        slot = min(slot, c.MAX_WATCH_SECONDS / hosts)
        return slot * (place.rank + 1 if self._was_woken else hosts)

    def handle(
        self, event: FollowEvent, complete_revision: int, hosts: int, now: float
    ) -> list[FollowEffect]:
        """Take an event; return what follows. complete is the book's revision."""
        return _handle(event, self, complete_revision, hosts, now)

    def is_after_outage(self, now: float) -> bool:
        """Return whether the source was away for a while until moments ago."""
        return now - self._last_outage_at < c.AFTER_OUTAGE_SECONDS

    def handle_answer(self, has_changes: bool, is_gap: bool, now: float) -> None:
        """Note an answer of the source."""
        self._update_outage(now)
        self._was_woken = has_changes or bool(self.failures)
        self.failures = 0
        self._failing_since = None
        self._has_tried_recovery = False
        self._must_read = is_gap
        self._has_source_answered = True
        self._has_peer_data = False
        self._behind_since = None
        if not has_changes:
            return
        # Changes come in crowds, at a start or a release, and each wakes every watch
        # of every host: after a short pause, one call brings many.
        is_burst = now - self._changed_at < c.CHANGE_BURST_WINDOW_SECONDS
        pause = c.CHANGE_BURST_DELAY_SECONDS if is_burst else c.CHANGE_DELAY_SECONDS
        self._pause_until = now + pause
        self._changed_at = now

    def handle_page(self, complete_revision: int, now: float) -> None:
        """Note a page of a reading that goes on: the source answers again."""
        if self._defers_first_read and not complete_revision:
            self._wait_for_peers(now)
        self._update_outage(now)
        self.failures = 0
        self._failing_since = None
        self._has_tried_recovery = False

    def handle_failure(self, complete_revision: int, hosts: int, now: float) -> None:
        """Note a failed call, and wait longer the more hosts ask."""
        if self._failing_since is None:
            self._failing_since = now
        self._failed_at = now
        # A watch goes on from a revision. Where the history after it was dropped
        # with the watch, a new one waits in silence until the next change. Symptom:
        # a table that was replaced is used for seconds. Reading all sees any change.
        self._must_read = True
        limit = c.SOURCE_RETRY_MAX_SECONDS
        if complete_revision:
            limit = max(limit, hosts * c.SOURCE_RETRY_SECONDS_PER_HOST)
        limit = min(limit, c.SOURCE_RETRY_LIMIT_SECONDS)
        wait = min(c.SOURCE_RETRY_FIRST_SECONDS * 2**self.failures, limit)
        self.failures = min(self.failures + 1, 16)
        self._pause_until = now + wait * self._random.uniform(0.5, 1.0)
        self._update_outage(now)

    def check_watch(self, confirmed_age: float) -> list[FollowEffect]:
        """Give up a watch that nobody's word speaks for.

        A watch may get no answer ever, though the source answers others again.
        Symptom: a host whose peers are as deaf, or cut off, works by what was replaced
        until its watch ends, up to 12 s later. In a fleet in order some host's watch
        ends each 1.3 s and its word reaches all, so an old word shows the deaf.
        """
        if confirmed_age <= c.MAX_CONFIRMED_AGE_SECONDS or not self._is_watching:
            return []
        self._is_watching = False
        self._must_read = True
        return [QuerySource()]

    def handle_history_lost(self) -> None:
        """Note that all must be read anew."""
        self._must_read = True

    def handle_peer_data(self, complete_revision: int) -> None:
        """Note that a peer gave what it holds, up to a revision.

        A host that starts would read all that it was given once more. Symptom: a
        fleet of hundreds that starts asks the source for thousands of pages, is
        refused most of them, and serves late. A short watch from the revision given
        is enough: it brings what changed since, and where the source no longer has
        that, its answer shows it and all is read.
        """
        if self._has_source_answered or self.failures or not complete_revision:
            return
        self._must_read = False
        self._has_peer_data = True

    def handle_peer_report(
        self, report: PeerReported, complete_revision: int, now: float
    ) -> list[FollowEffect]:
        """Compare with what a peer holds."""
        effects: list[FollowEffect] = []
        if self._defers_first_read and not complete_revision:
            # Only where a peer answers is anyone there to wait for. Symptom, after a
            # loss of power: hosts wait for seeds that start later than they do.
            start_until = self._started_at + self._start_wait
            self._pause_until = max(self._pause_until, start_until)
        if self._newest_reported <= complete_revision:
            # Only what this host holds ends its being behind: peers that hold less
            # tell nothing about it.
            self._behind_since = None
        self._peers_ahead.pop(report.name, None)
        if report.changed_revision <= complete_revision:
            effects.append(MarkConfirmed(report.confirmed_age))
        else:
            self._add_peer_ahead(report.name)
            self._newest_reported = max(self._newest_reported, report.changed_revision)
            effects += self._catch_up(report.name, complete_revision, now)
        if self._shows_recovery(report, now):
            self._has_tried_recovery = True
            spread = self._random.uniform(0.0, c.RECOVERY_SPREAD_SECONDS)
            self._pause_until = min(self._pause_until, now + spread)
            effects += self._query_source()
        return effects

    def _catch_up(
        self, name: str, complete_revision: int, now: float
    ) -> list[FollowEffect]:
        if self._behind_since is None:
            self._behind_since = now
        # Its own watch most often brings a host the same a moment later.
        grace = c.BEHIND_GRACE_SECONDS if complete_revision else 0.0
        if self.failures or self._relies_on_others:
            grace = 0.0
        is_early = now - self._behind_since < grace
        if is_early or now - self._pulled_at < c.PEER_PULL_INTERVAL_SECONDS:
            return []
        self._pulled_at = now
        effects: list[FollowEffect] = [PullFromPeer(name)]
        if not complete_revision:
            self._wait_for_peers(now)
        # A host that is fed and stays behind is confirmed by nobody, and asks for that.
        if complete_revision and not self.failures and not self._relies_on_others:
            self._must_read = True
            effects += self._query_source()
        return effects

    def _add_peer_ahead(self, name: str) -> None:
        self._peers_ahead[name] = None
        while len(self._peers_ahead) > c.MAX_AHEAD_PEERS:
            self._peers_ahead.pop(next(iter(self._peers_ahead)))

    def handle_pull_failure(
        self, name: str, complete_revision: int, now: float
    ) -> list[FollowEffect]:
        """Ask another peer that holds more, once one has given nothing.

        All that start, or hear of one change, ask the few that hold it, and each of
        them gives to a few at a time. Symptom, where the next word of a peer is waited
        for: most of a large fleet has no table for another second, or works by the one
        before it.
        """
        if self._newest_reported <= complete_revision:
            return []
        others = [peer for peer in self._peers_ahead if peer != name]
        self._pulled_at = now
        if not complete_revision:
            self._wait_for_peers(now)
        return [PullFromPeer(self._random.choice(others or [name]))]

    def _query_source(self) -> list[FollowEffect]:
        """Ask the source at once, unless it is being read.

        A large table takes its time on the host's link, and peers that are ahead say so
        five times a second. Symptom, where each word begins the reading anew: it never
        ends, and the host, and all that it feeds, work by the table before it. What
        the reading misses as it began too soon shows by the next word after its end.
        """
        return [] if self._is_reading else [QuerySource()]

    def _wait_for_peers(self, now: float) -> None:
        """Leave the source to others while peers may give what they have read."""
        longest_wait = self._started_at + c.MAX_START_WAIT_SECONDS
        pause_until = min(now + c.START_PULL_WAIT_SECONDS, longest_wait)
        self._pause_until = max(self._pause_until, pause_until)

    def _shows_recovery(self, report: PeerReported, now: float) -> bool:
        answered_at = now - report.confirmed_age
        is_newer = answered_at > self._failed_at + c.HINT_MARGIN_SECONDS
        return bool(self.failures) and is_newer and not self._has_tried_recovery

    def _clear_failures(self, now: float) -> None:
        """Forget the failures of a host that is fed again."""
        self._update_outage(now)
        self._failing_since = None
        self._has_tried_recovery = False
        self.failures = 0

    def _update_outage(self, now: float) -> None:
        # A host may be the only one that the source does not reach. Symptom, were that
        # an outage: it takes what its peers tell it has left for what has lapsed, and
        # uses it past the drain's bound. What peers confirm shows that all others hear.
        since = self._failing_since
        is_long = since is not None and now - since > c.MIN_OUTAGE_SECONDS
        if is_long and now - self._confirmed_at > c.MAX_CONFIRMED_AGE_SECONDS:
            self._last_outage_at = now


@singledispatch
def _handle(
    event: FollowEvent,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    raise TypeError(f"not an event: {event!r}")


@_handle.register
def _(
    event: SourceAnswered,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    follower.handle_answer(event.has_changes, event.is_gap, now)
    return [MarkConfirmed(event.age_seconds)]


@_handle.register
def _(
    event: PageRead, follower: Follower, complete_revision: int, hosts: int, now: float
) -> list[FollowEffect]:
    follower.handle_page(complete_revision, now)
    return []


@_handle.register
def _(
    event: SourceFailed,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    follower.handle_failure(complete_revision, hosts, now)
    return []


@_handle.register
def _(
    event: HistoryLost,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    follower.handle_history_lost()
    return []


@_handle.register
def _(
    event: PeerReported,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    return follower.handle_peer_report(event, complete_revision, now)


@_handle.register
def _(
    event: PeerDataApplied,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    follower.handle_peer_data(complete_revision)
    return []


@_handle.register
def _(
    event: PeerPullFailed,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    return follower.handle_pull_failure(event.name, complete_revision, now)


@_handle.register
def _(
    event: ConfirmationAged,
    follower: Follower,
    complete_revision: int,
    hosts: int,
    now: float,
) -> list[FollowEffect]:
    return follower.check_watch(event.age_seconds)
