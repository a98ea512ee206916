"""Decide when to query the source of publications, and when a peer."""

from __future__ import annotations

import random
from functools import singledispatch

from . import const as c
from .follow_events import (
    ConfirmationAged,
    FollowEffect,
    FollowEvent,
    HistoryLost,
    MarkConfirmed,
    PageRead,
    Pause,
    PeerDataApplied,
    PeerPullFailed,
    PeerReported,
    PullFromPeer,
    QuerySource,
    ReadAll,
    SourceAnswered,
    SourceFailed,
    Step,
    Watch,
)
from .readers import PollingOrder

__all__ = ["Follower"]


class Follower:
    """Follow the source with few calls, and pull from peers with newer records.

    A host pulls when it starts, as a standby, while the source does not answer it, and
    when its own data stays behind that of a peer.

    Each call has a price, and each change ends one watch per host. So the more hosts
    there are, the longer each watch lasts; one of them ends about every second. A peer
    with a newer record reveals a watch whose connection was lost without notice.
    """

    def __init__(self, rng: random.Random, now: float, start_wait: float = 0.0) -> None:
        self._random = rng
        self._started_at = now
        self._must_read = True
        self._has_source_answered = False
        # Whether this host's data came from a peer, before any answer of the source.
        self._has_peer_data = False
        self._staggers_next_watch = True
        # If all hosts of a large fleet read all records at a simultaneous start, the
        # source refuses most calls and the fleet serves only seconds later. So hosts
        # with a start wait let others read first, and pull from those; the wait starts
        # again with each page of a read. A host that hears no peer reads after
        # SEED_ANSWER_SECONDS.
        self._defers_first_read = start_wait > 0.0
        self._start_wait = start_wait
        self._pause_until = now + min(start_wait, c.SEED_ANSWER_SECONDS)
        self._changed_at = float("-inf")
        self._behind_since: float | None = None
        self._latest_reported_revision = 0
        self._pulled_at = float("-inf")
        # Peers whose last report was newer than this host's data, oldest first.
        self._peers_ahead: dict[str, None] = {}
        self._failing_since: float | None = None
        self._failed_at = float("-inf")
        self._last_outage_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._has_tried_recovery = False
        self._relies_on_pollers = False
        self._is_watching = False
        self._is_reading = False
        self._history_losses = 0
        self.failures = 0

    def choose_step(
        self, order: PollingOrder, confirmed_age: float, now: float
    ) -> Step:
        """Return what to do now; confirmed_age is that of this host's data."""
        self._confirmed_at = now - confirmed_age
        step = self._choose_step(order, confirmed_age, now)
        self._is_watching = isinstance(step, Watch)
        self._is_reading = isinstance(step, ReadAll)
        return step

    def _choose_step(
        self, order: PollingOrder, confirmed_age: float, now: float
    ) -> Step:
        standby_wait = self._compute_standby_wait(order, confirmed_age)
        self._relies_on_pollers = standby_wait > 0.0
        if self._relies_on_pollers:
            self._clear_failures(now)
            return Pause(max(standby_wait, c.STANDBY_CHECK_SECONDS))
        if now < self._pause_until:
            return Pause(self._pause_until - now)
        if self._must_read:
            return ReadAll()
        if order.standby_rank is not None or self._has_peer_data:
            return Watch(c.STANDBY_WATCH_SECONDS)
        return Watch(self._choose_watch_seconds(order))

    def _compute_standby_wait(self, order: PollingOrder, confirmed_age: float) -> float:
        """Return how much longer this host relies on the pollers; 0.0 for a poller.

        The pollers of its group may be dead, frozen or cut off from it or the source,
        and it would then send requests to withdrawn targets. The confirmed age bounds
        how old the data is, whichever host confirmed it, so a standby polls once that
        age is too great. The first standby of a group uses a short watch, whose answer
        confirms the data of all that hear of it. Groups start one after the other, as
        one answer can serve all of them.
        """
        if order.standby_rank is None:
            return 0.0
        wait = (
            c.STANDBY_POLL_AGE_SECONDS
            + order.group_fraction * c.STANDBY_GROUP_SPREAD_SECONDS
        )
        return wait + order.standby_rank * c.STANDBY_RANK_STEP_SECONDS - confirmed_age

    def _choose_watch_seconds(self, order: PollingOrder) -> float:
        hosts = order.poller_count
        if order.group:
            wait = min(c.MAX_WATCH_SECONDS, hosts * c.POLLER_WATCH_STAGGER_SECONDS)
            return (
                wait * (order.rank + 1) / hosts if self._staggers_next_watch else wait
            )
        # A change ends all watches at once. New watches of equal length would end
        # together too, and for seconds no host would know of changes. The rank
        # staggers them.
        interval = max(c.WATCH_STAGGER_SECONDS, c.MIN_WATCH_SECONDS / hosts)
        interval = min(interval, c.MAX_WATCH_SECONDS / hosts)
        return interval * (order.rank + 1 if self._staggers_next_watch else hosts)

    def handle(
        self, event: FollowEvent, complete_revision: int, hosts: int, now: float
    ) -> list[FollowEffect]:
        """Process an event and return its effects.

        complete_revision is the revision up to which this host has all records.
        """
        return _handle(event, self, complete_revision, hosts, now)

    def is_after_outage(self, now: float) -> bool:
        """Return whether an outage of the source ended moments ago."""
        return now - self._last_outage_at < c.AFTER_OUTAGE_SECONDS

    def is_after_last_outage(self, time: float) -> bool:
        """Return whether a time is later than the last sign of an outage."""
        return time > self._last_outage_at

    def handle_answer(self, has_changes: bool, is_gap: bool, now: float) -> None:
        """Process an answer of the source."""
        self._update_outage(now)
        self._staggers_next_watch = has_changes or bool(self.failures)
        self.failures = 0
        self._failing_since = None
        self._has_tried_recovery = False
        self._must_read = is_gap
        if self._is_watching:
            self._history_losses = 0
        self._has_source_answered = True
        self._has_peer_data = False
        self._behind_since = None
        if not has_changes:
            return
        # Changes come in bursts, at a start or a release, and each ends the watches of
        # all hosts. After a short pause one call returns many of them.
        is_burst = now - self._changed_at < c.CHANGE_BURST_WINDOW_SECONDS
        pause = c.CHANGE_BURST_DELAY_SECONDS if is_burst else c.CHANGE_DELAY_SECONDS
        self._pause_until = now + pause
        self._changed_at = now

    def handle_page(self, complete_revision: int, now: float) -> None:
        """Process a page of an unfinished read, which shows that the source answers."""
        if self._defers_first_read and not complete_revision:
            self._wait_for_peers(now)
        self._update_outage(now)
        self.failures = 0
        self._failing_since = None
        self._has_tried_recovery = False

    def handle_failure(self, complete_revision: int, hosts: int, now: float) -> None:
        """Process a failed call; the more hosts there are, the longer the back-off."""
        if self._failing_since is None:
            self._failing_since = now
        self._failed_at = now
        # A watch continues from a revision. If the source has dropped the history after
        # it, a new watch returns nothing until the next change, and a replaced table
        # stays in use for seconds. A full read finds any change.
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
        """Abandon the watch if no host has confirmed this host's data for too long.

        A watch may never be answered although the source answers others again. A host
        whose peers have the same problem, or are cut off, would use replaced data until
        its watch ends, up to MAX_WATCH_SECONDS later. In a healthy fleet some host's
        watch ends every WATCH_STAGGER_SECONDS and confirms the data of all, so an old
        confirmation reveals the fault.
        """
        if confirmed_age <= c.MAX_CONFIRMED_AGE_SECONDS or not self._is_watching:
            return []
        self._is_watching = False
        self._must_read = True
        return [QuerySource()]

    def handle_history_lost(self, now: float) -> None:
        """Request a full read; after the first one, with a back-off.

        If the records of the full read are still not those that the source has history
        for, the host would otherwise read and watch in turn without a pause.
        """
        self._must_read = True
        if self._history_losses:
            wait = c.SOURCE_RETRY_FIRST_SECONDS * 2 ** (self._history_losses - 1)
            wait = min(wait, c.SOURCE_RETRY_MAX_SECONDS)
            self._pause_until = now + wait * self._random.uniform(0.5, 1.0)
        self._history_losses = min(self._history_losses + 1, 16)

    def handle_peer_data(self, complete_revision: int) -> None:
        """Process records from a peer, which may replace the first full read.

        If each starting host read again what a peer sent, a fleet of hundreds would
        request thousands of pages, be refused most of them, and serve late. A short
        watch from the received revision is enough: it returns later changes, and if the
        source no longer has those, its answer shows that and causes a full read.
        """
        if self._has_source_answered or self.failures or not complete_revision:
            return
        self._must_read = False
        self._has_peer_data = True

    def handle_peer_report(
        self, report: PeerReported, complete_revision: int, now: float
    ) -> list[FollowEffect]:
        """Compare this host's data with what a peer holds."""
        effects: list[FollowEffect] = []
        if self._defers_first_read and not complete_revision:
            # The full start wait applies only once a peer has been heard. After a power
            # loss hosts would otherwise wait for seeds that start later than they do.
            start_until = self._started_at + self._start_wait
            self._pause_until = max(self._pause_until, start_until)
        if self._latest_reported_revision <= complete_revision:
            # Only this host's own revision shows that it has caught up; reports of
            # peers with older data do not.
            self._behind_since = None
        self._peers_ahead.pop(report.name, None)
        if report.latest_revision <= complete_revision and report.has_later_table:
            effects += self._pull_table(report.name, now)
        elif report.latest_revision <= complete_revision:
            effects.append(MarkConfirmed(report.confirmed_age))
        else:
            self._add_peer_ahead(report.name)
            self._latest_reported_revision = max(
                self._latest_reported_revision, report.latest_revision
            )
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
        # Usually the host's own watch returns the same change a moment later.
        grace = c.BEHIND_GRACE_SECONDS if complete_revision else 0.0
        if self.failures or self._relies_on_pollers:
            grace = 0.0
        is_early = now - self._behind_since < grace
        if is_early or now - self._pulled_at < c.PEER_PULL_INTERVAL_SECONDS:
            return []
        self._pulled_at = now
        effects: list[FollowEffect] = [PullFromPeer(name)]
        if not complete_revision:
            self._wait_for_peers(now)
        # A standby needs no query here: while it stays behind, nothing confirms its
        # data, and it polls once that is too old.
        if complete_revision and not self.failures and not self._relies_on_pollers:
            self._must_read = True
            effects += self._query_source()
        return effects

    def _pull_table(self, name: str, now: float) -> list[FollowEffect]:
        """Pull a table that the source itself has lost, and no change contains."""
        if now - self._pulled_at < c.PEER_PULL_INTERVAL_SECONDS:
            return []
        self._pulled_at = now
        return [PullFromPeer(name, is_full=True)]

    def _add_peer_ahead(self, name: str) -> None:
        self._peers_ahead[name] = None
        while len(self._peers_ahead) > c.MAX_AHEAD_PEERS:
            self._peers_ahead.pop(next(iter(self._peers_ahead)))

    def handle_pull_failure(
        self, name: str, complete_revision: int, now: float
    ) -> list[FollowEffect]:
        """Ask another peer with newer data after one has sent no records.

        Hosts that start, or hear of a change, all ask the few peers that have the data,
        and each of those serves a few hosts at a time. If hosts waited for the next
        report instead, most of a large fleet would have no table, or the previous one,
        for another second.
        """
        if self._latest_reported_revision <= complete_revision:
            return []
        others = [peer for peer in self._peers_ahead if peer != name]
        self._pulled_at = now
        if not complete_revision:
            self._wait_for_peers(now)
        return [PullFromPeer(self._random.choice(others or [name]))]

    def _query_source(self) -> list[FollowEffect]:
        """Query the source at once, unless a full read is in progress.

        A large table takes time on the host's link, and peers that are ahead report it
        five times a second. If each report restarted the read, it would never end, and
        the host and its standbys would keep the previous table. Changes that the read
        misses because it started too early show in the next report after its end.
        """
        return [] if self._is_reading else [QuerySource()]

    def _wait_for_peers(self, now: float) -> None:
        """Do not query the source while peers may send what they have read."""
        longest_wait = self._started_at + c.MAX_START_WAIT_SECONDS
        pause_until = min(now + c.START_PULL_WAIT_SECONDS, longest_wait)
        self._pause_until = max(self._pause_until, pause_until)

    def _shows_recovery(self, report: PeerReported, now: float) -> bool:
        answered_at = now - report.confirmed_age
        is_newer = answered_at > self._failed_at + c.HINT_MARGIN_SECONDS
        return bool(self.failures) and is_newer and not self._has_tried_recovery

    def _clear_failures(self, now: float) -> None:
        """Reset the failures, as the pollers keep this host's data fresh again."""
        self._update_outage(now)
        self._failing_since = None
        self._has_tried_recovery = False
        self.failures = 0

    def _update_outage(self, now: float) -> None:
        # Failures of this host alone are no outage of the source, as long as peers
        # confirm its data. Otherwise it would take withdrawn targets for expired ones,
        # and use them beyond the drain time.
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
    raise TypeError(f"unknown event: {event!r}")


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
    follower.handle_history_lost(now)
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
