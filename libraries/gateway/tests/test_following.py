"""Tests of when the source and the peers are queried, on a fake clock."""

import random

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.follow_events import (
    ConfirmationAged,
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
    Watch,
)
from tarragonward_gateway.following import Follower
from tarragonward_gateway.readers import PollingOrder
from tarragonward_gateway.record_exchange import pack_age, unpack_age

HOSTS = 9
NO_AGE = 0.0


@pytest.fixture
def follower():
    return Follower(random.Random(1), 0.0)


@pytest.fixture
def watching(follower):
    follower.handle(SourceAnswered(False), 10, HOSTS, 1.0)
    return follower


def test_full_read_at_start_and_after_lost_history(follower):
    assert follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.0) == ReadAll()
    follower.handle(SourceAnswered(False), 10, HOSTS, 0.1)
    assert isinstance(follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.1), Watch)
    follower.handle(HistoryLost(), 10, HOSTS, 0.2)
    assert follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.2) == ReadAll()


def test_watches_are_longer_in_larger_fleet(watching):
    watching.handle(SourceAnswered(False), 10, HOSTS, 1.0)
    assert watching.choose_step(PollingOrder(1, 0), NO_AGE, 1.0) == Watch(
        c.MIN_WATCH_SECONDS
    )
    assert watching.choose_step(PollingOrder(HOSTS, 3), NO_AGE, 1.0) == Watch(
        HOSTS * c.WATCH_STAGGER_SECONDS
    )
    assert watching.choose_step(PollingOrder(320, 9), NO_AGE, 1.0) == Watch(
        c.MAX_WATCH_SECONDS
    )


def test_watches_after_change_are_staggered(follower):
    """A change ends all watches at once; new ones of equal length would end together.

    In between no host could tell whether an unknown route is new, callers would be
    told to retry, and a store that fails silently would be noticed late.
    """
    follower.handle(SourceAnswered(True), 10, HOSTS, 1.0)
    steps = [
        follower.choose_step(PollingOrder(HOSTS, rank), NO_AGE, 2.0)
        for rank in range(HOSTS)
    ]
    ends = [step.seconds for step in steps]
    slots = [c.WATCH_STAGGER_SECONDS * (rank + 1) for rank in range(HOSTS)]
    assert ends == pytest.approx(slots)


def test_burst_of_changes_is_fetched_together(watching):
    watching.handle(SourceAnswered(True), 11, HOSTS, 2.0)
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0)
    assert step.seconds == pytest.approx(c.CHANGE_DELAY_SECONDS)
    watching.handle(SourceAnswered(True), 12, HOSTS, 2.5)
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.5)
    assert step.seconds == pytest.approx(c.CHANGE_BURST_DELAY_SECONDS)


def test_peer_ahead_reveals_dead_watch(watching):
    """The connection of a watch is lost without a reset, so a change is missed.

    The watch times out only seconds later, but changes must apply within two seconds. A
    peer reports a newer revision; if the watch stays silent, both are queried.
    """
    report = PeerReported("peer", 12, 0.1)
    assert watching.handle(report, 10, HOSTS, 5.0) == []
    assert watching.handle(report, 10, HOSTS, 5.3) == []
    late = 5.0 + c.BEHIND_GRACE_SECONDS
    assert watching.handle(report, 10, HOSTS, late) == [
        PullFromPeer("peer"),
        QuerySource(),
    ]
    assert watching.handle(report, 10, HOSTS, late + 0.1) == []


def test_full_read_after_failed_watch(watching):
    """The store misses a change, drops its history and closes all watches.

    A new watch from the old revision does not return the lost change until another one
    follows, so hosts would use a replaced table for seconds.
    """
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    assert watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 9.0) == ReadAll()


def test_full_read_after_gap_in_answer(watching):
    watching.handle(SourceAnswered(False, is_gap=True), 12, HOSTS, 2.0)
    assert watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0) == ReadAll()
    watching.handle(SourceAnswered(False), 12, HOSTS, 2.1)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.1), Watch)


def test_change_from_own_watch_causes_no_query(watching):
    report = PeerReported("peer", 12, 0.1)
    watching.handle(report, 10, HOSTS, 5.0)
    watching.handle(SourceAnswered(True), 12, HOSTS, 5.1)
    assert watching.handle(report, 12, HOSTS, 6.0) == [MarkConfirmed(0.1)]


def test_host_refused_by_source_asks_peer_at_once(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    report = PeerReported("peer", 12, float("inf"))
    assert watching.handle(report, 10, HOSTS, 2.1) == [PullFromPeer("peer")]


def test_starting_host_asks_peer_if_source_fails(follower):
    follower.handle(SourceFailed(), 0, HOSTS, 0.5)
    report = PeerReported("peer", 12, float("inf"))
    assert follower.handle(report, 0, HOSTS, 0.6) == [PullFromPeer("peer")]
    assert isinstance(
        follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 9.0), ReadAll
    )


def test_full_read_after_failed_watch_restores_watching(watching):
    """A key is revoked in the second before the source drops its history.

    A new watch from the old revision returns nothing for seconds, without an error for
    the lost history, and the key's calls are still served. A full read finds the change
    at once, and watching resumes.
    """
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    step = watching.choose_step(
        PollingOrder(HOSTS, 0), NO_AGE, 2.0 + c.SOURCE_RETRY_FIRST_SECONDS
    )
    assert step == ReadAll()
    watching.handle(SourceAnswered(True), 14, HOSTS, 2.1)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 3.0), Watch)


def test_starting_host_asks_peer_if_source_is_silent(follower):
    """Most hosts restart while the store is silent, and the first read hangs.

    One peer has all records, the restarted ones have none. Their reports must not hide
    that this host is behind.
    """
    empty = PeerReported("restarted", 0, float("inf"))
    whole = PeerReported("peer", 26, 6.0)
    effects = []
    for step in range(4):
        now = 0.1 * step
        effects += follower.handle(whole, 0, HOSTS, now)
        effects += follower.handle(empty, 0, HOSTS, now + 0.05)
    assert PullFromPeer("peer") in effects
    assert QuerySource() not in effects


def test_peers_behind_do_not_hide_dead_watch(watching):
    """The watch of this host is dead, so it still uses a target that was withdrawn.

    One peer reports the newer revision. The watches of the others are dead too, and
    their reports of the old revision must not hide that this host is behind.
    """
    ahead, level = PeerReported("peer", 12, 0.1), PeerReported("deaf", 10, 0.1)
    effects = []
    for step in range(9):
        now = 5.0 + 0.1 * step
        effects += watching.handle(ahead, 10, HOSTS, now)
        effects += watching.handle(level, 10, HOSTS, now + 0.05)
    assert PullFromPeer("peer") in effects
    assert QuerySource() in effects


def test_backoff_is_longer_in_larger_fleet(watching):
    now = 2.0
    for _ in range(10):
        watching.handle(SourceFailed(), 10, HOSTS, now)
        step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, now)
        now += step.seconds
    assert step.seconds > 1.3
    single_host = Follower(random.Random(1), 0.0)
    for _ in range(10):
        single_host.handle(SourceFailed(), 0, HOSTS, 2.0)
    assert (
        single_host.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0).seconds
        <= c.SOURCE_RETRY_MAX_SECONDS
    )


def test_source_that_recovered_for_peer_is_retried_once(watching):
    """A host in a long back-off would miss the records that expired meanwhile."""
    for _ in range(8):
        watching.handle(SourceFailed(), 10, HOSTS, 4.0)
    effects = watching.handle(PeerReported("peer", 10, 0.2), 10, HOSTS, 4.5)
    assert QuerySource() in effects
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 4.5)
    assert not isinstance(step, Pause) or step.seconds <= c.RECOVERY_SPREAD_SECONDS
    again = watching.handle(PeerReported("peer", 10, 0.1), 10, HOSTS, 4.6)
    assert QuerySource() not in again


def test_source_that_refuses_one_host_is_not_retried_at_each_hint(watching):
    """The store refuses this host for long and serves the others.

    Their confirmations are newer than each failure here, but each call has a price.
    """
    queries = 0
    for step in range(10):
        now = 4.0 + 2.0 * step
        watching.handle(SourceFailed(), 10, HOSTS, now)
        report = PeerReported("peer", 10, 0.1)
        queries += QuerySource() in watching.handle(report, 10, HOSTS, now + 1.0)
    assert queries == 1


def test_outage_is_remembered_briefly(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    watching.handle(SourceAnswered(False), 10, HOSTS, 2.2)
    assert not watching.is_after_outage(2.2)
    watching.handle(SourceFailed(), 10, HOSTS, 3.0)
    watching.handle(SourceAnswered(True), 10, HOSTS, 6.0)
    assert watching.is_after_outage(6.1)
    assert not watching.is_after_outage(6.0 + c.AFTER_OUTAGE_SECONDS)


def test_host_cut_off_alone_sees_no_outage(watching):
    """A host is cut off from the source while its peers keep it up to date.

    Once it reaches the source again, it must not take a withdrawn target for one that
    expired in an outage: a request reached such a target 2.08 s after its withdrawal,
    and the limit is 2 s.
    """
    for now in (2.0, 3.0, 4.0, 5.0):
        watching.choose_step(PollingOrder(HOSTS, 0), 1.5, now)
        watching.handle(SourceFailed(), 10, HOSTS, now)
    watching.choose_step(PollingOrder(HOSTS, 0), 1.5, 6.0)
    watching.handle(SourceAnswered(False), 10, HOSTS, 6.1)
    assert not watching.is_after_outage(6.1)


def test_starting_host_leaves_first_read_to_seeds():
    """300 hosts start at once; if all read the source, it refuses most of them.

    A host that is no seed waits a moment, asks a peer that has all records at once, and
    does not query the source while the peer sends them.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.0)
    assert step == Pause(c.SEED_ANSWER_SECONDS)
    follower.handle(PeerReported("seed", 0, float("inf")), 0, 3, 0.01)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.05)
    assert step.seconds == pytest.approx(c.START_WAIT_SECONDS - 0.05)
    report = PeerReported("seed", 12, 0.0)
    assert PullFromPeer("seed") in follower.handle(report, 0, 3, 0.1)
    assert isinstance(follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.3), Pause)


def test_starting_host_does_not_wait_for_absent_seeds():
    """After a power loss the seeds start last; waiting would refuse callers."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    step = follower.choose_step(PollingOrder(1, 0), NO_AGE, c.SEED_ANSWER_SECONDS)
    assert step == ReadAll()


def test_records_from_peer_at_start_are_not_read_again():
    """Hundreds of hosts start at once, and each gets all records from a peer.

    If each read the source as well, most calls would be refused, also those of hosts
    without any records. A short watch from the received revision returns later changes.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerReported("seed", 12, 0.0), 0, 3, 0.1)
    follower.handle(PeerDataApplied(), 12, 3, 0.2)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 1.0)
    assert step == Watch(c.STANDBY_WATCH_SECONDS)
    follower.handle(SourceAnswered(False), 12, 3, 1.1)
    later = follower.choose_step(PollingOrder(3, 0), NO_AGE, 1.1)
    assert isinstance(later, Watch) and later.seconds > c.STANDBY_WATCH_SECONDS


def test_host_refused_by_peer_asks_another_at_once():
    """195 hosts start; all ask the few that have records, which serve some at a time.

    If a refused host waited for the next report of a peer, most of the fleet would
    refuse callers for another second.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    for name in ("seed", "fed"):
        follower.handle(PeerReported(name, 12, 0.0), 0, 195, 0.1)
    assert follower.handle(PeerPullFailed("seed"), 0, 195, 0.15) == [
        PullFromPeer("fed")
    ]
    assert isinstance(follower.choose_step(PollingOrder(195, 0), NO_AGE, 0.5), Pause)
    assert follower.handle(PeerPullFailed("fed"), 12, 195, 0.2) == []


def test_host_refused_by_only_peer_asks_it_again():
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerReported("seed", 12, 0.0), 0, 195, 0.1)
    assert follower.handle(PeerPullFailed("seed"), 0, 195, 0.15) == [
        PullFromPeer("seed")
    ]


@pytest.mark.parametrize(
    "event", [SourceAnswered(False, is_gap=True), HistoryLost(), SourceFailed()]
)
def test_records_from_peer_are_read_again_if_change_may_be_lost(event):
    """The source drops its history, or fails, before the first watch of a host.

    The host has its records from a peer, and no watch returns a change since then. The
    revision of the answer, or the failure, must cause a full read.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerDataApplied(), 12, 3, 0.2)
    follower.handle(event, 12, 3, 1.1)
    assert follower.choose_step(PollingOrder(3, 0), NO_AGE, 9.0) == ReadAll()


def test_host_that_starts_alone_reads_source():
    """The seeds are dead or cut off, no peer reports, and the wait is short."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    assert (
        follower.choose_step(PollingOrder(1, 0), NO_AGE, c.START_WAIT_SECONDS)
        == ReadAll()
    )


def test_peers_that_send_no_records_do_not_delay_start():
    """Peers report data but send no records; the host reads within two seconds."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    for turn in range(40):
        follower.handle(PeerReported("busy", 12, 0.0), 0, 3, 0.1 * turn)
    assert (
        follower.choose_step(PollingOrder(3, 0), NO_AGE, c.MAX_START_WAIT_SECONDS)
        == ReadAll()
    )


def test_page_between_failures_resets_backoff(follower):
    for _ in range(6):
        follower.handle(SourceFailed(), 0, HOSTS, 1.0)
    follower.handle(PageRead(), 0, HOSTS, 3.0)
    follower.handle(SourceFailed(), 0, HOSTS, 3.1)
    step = follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 3.1)
    assert step.seconds <= c.SOURCE_RETRY_FIRST_SECONDS


def test_answer_received_after_suspension_counts_as_old(watching):
    """A host is suspended with an answer in its socket, and the table changes.

    When it resumes, it must not confirm the old data as current to itself or to peers.
    """
    assert watching.handle(SourceAnswered(False, False, 2.5), 10, HOSTS, 9.0) == [
        MarkConfirmed(2.5)
    ]


def test_ages_exchanged_between_peers_never_decrease():
    """Two hosts hear only each other; their data must not seem to become younger."""
    delay, age, waited = 0.005, 1.0, 0.0
    for _ in range(100):
        age = unpack_age(pack_age(age))
        waited += delay
    assert age >= 1.0 + waited


def test_unconfirmed_watch_is_abandoned(watching):
    """The watches of all hosts in reach are dead after the source was silent to them.

    The source answers again, but each host waits for the end of its watch, and uses a
    withdrawn target until then.
    """
    watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 1.0)
    assert (
        watching.handle(ConfirmationAged(c.MAX_CONFIRMED_AGE_SECONDS), 10, HOSTS, 3.0)
        == []
    )
    late = ConfirmationAged(c.MAX_CONFIRMED_AGE_SECONDS + 0.1)
    assert watching.handle(late, 10, HOSTS, 3.3) == [QuerySource()]
    assert watching.choose_step(PollingOrder(HOSTS, 0), 2.3, 3.3) == ReadAll()
    assert watching.handle(late, 10, HOSTS, 3.4) == []


def test_failing_source_is_not_queried_early_without_confirmation(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), 9.0, 2.0), Pause)
    assert watching.handle(ConfirmationAged(9.0), 10, HOSTS, 2.0) == []


def test_lost_history_is_not_read_again_without_a_pause(watching):
    """A read may not bring the host to a revision that the source has history for."""
    now, reads = 1.0, 0
    while now < 3.0:
        step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, now)
        if isinstance(step, ReadAll):
            reads += 1
            watching.handle(SourceAnswered(False), 10, HOSTS, now)
        elif isinstance(step, Watch):
            watching.handle(HistoryLost(), 10, HOSTS, now)
        now += step.seconds if isinstance(step, Pause) else 0.005
    assert reads < 12


def test_later_table_of_a_peer_is_pulled_though_its_changes_are_known(watching):
    """The source lost the table, so neither a watch nor a pull of changes has it."""
    report = PeerReported("host-2", 10, 0.5, has_later_table=True)
    assert watching.handle(report, 10, HOSTS, 2.0) == [
        PullFromPeer("host-2", is_full=True)
    ]
    assert watching.handle(report, 10, HOSTS, 2.1) == []
