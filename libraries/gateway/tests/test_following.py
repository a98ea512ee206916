"""When the source and the peers are asked, on a fake clock."""

import random

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.following import (
    ConfirmationAged,
    Follower,
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


def test_all_is_read_first_and_after_lost_history(follower):
    assert follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.0) == ReadAll()
    follower.handle(SourceAnswered(False), 10, HOSTS, 0.1)
    assert isinstance(follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.1), Watch)
    follower.handle(HistoryLost(), 10, HOSTS, 0.2)
    assert follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 0.2) == ReadAll()


def test_more_hosts_wait_longer_each(watching):
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


def test_watches_that_a_change_woke_end_one_after_the_other(follower):
    """A change wakes all watches at once, and they would all end at once again.

    In between nobody could tell whether an unknown route is new: callers are told
    to come back, and a store that has died in silence is noticed late.
    """
    follower.handle(SourceAnswered(True), 10, HOSTS, 1.0)
    steps = [
        follower.choose_step(PollingOrder(HOSTS, rank), NO_AGE, 2.0)
        for rank in range(HOSTS)
    ]
    ends = [step.seconds for step in steps]
    slots = [c.WATCH_STAGGER_SECONDS * (rank + 1) for rank in range(HOSTS)]
    assert ends == pytest.approx(slots)


def test_changes_in_a_crowd_are_fetched_together(watching):
    watching.handle(SourceAnswered(True), 11, HOSTS, 2.0)
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0)
    assert step.seconds == pytest.approx(c.CHANGE_DELAY_SECONDS)
    watching.handle(SourceAnswered(True), 12, HOSTS, 2.5)
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.5)
    assert step.seconds == pytest.approx(c.CHANGE_BURST_DELAY_SECONDS)


def test_a_dead_watch_shows_by_a_peer_that_is_ahead(watching):
    """A watch's connection goes silent without a reset; a change goes unheard.

    Its own time-out is seconds away, the bound for changes two. A peer tells a newer
    revision; a moment later, as this host's watch stays silent, both are asked.
    """
    told = PeerReported("peer", 12, 0.1)
    assert watching.handle(told, 10, HOSTS, 5.0) == []
    assert watching.handle(told, 10, HOSTS, 5.3) == []
    late = 5.0 + c.BEHIND_GRACE_SECONDS
    assert watching.handle(told, 10, HOSTS, late) == [
        PullFromPeer("peer"),
        QuerySource(),
    ]
    assert watching.handle(told, 10, HOSTS, late + 0.1) == []


def test_all_is_read_after_a_watch_that_was_cut(watching):
    """A request runs by a table that was replaced four seconds ago, on all hosts.

    The store hears nothing of changes for a second, drops its history and cuts the
    watches. A new watch from the old revision waits in silence: the change before it
    is in no history, and shows only when the next one comes.
    """
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    assert watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 9.0) == ReadAll()


def test_all_is_read_after_an_answer_that_passes_over_a_change(watching):
    watching.handle(SourceAnswered(False, is_gap=True), 12, HOSTS, 2.0)
    assert watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0) == ReadAll()
    watching.handle(SourceAnswered(False), 12, HOSTS, 2.1)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.1), Watch)


def test_a_change_that_its_own_watch_brings_asks_nobody(watching):
    told = PeerReported("peer", 12, 0.1)
    watching.handle(told, 10, HOSTS, 5.0)
    watching.handle(SourceAnswered(True), 12, HOSTS, 5.1)
    assert watching.handle(told, 12, HOSTS, 6.0) == [MarkConfirmed(0.1)]


def test_a_host_that_the_source_refuses_asks_a_peer_at_once(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    told = PeerReported("peer", 12, float("inf"))
    assert watching.handle(told, 10, HOSTS, 2.1) == [PullFromPeer("peer")]


def test_a_host_that_starts_beside_a_dead_source_asks_a_peer(follower):
    follower.handle(SourceFailed(), 0, HOSTS, 0.5)
    told = PeerReported("peer", 12, float("inf"))
    assert follower.handle(told, 0, HOSTS, 0.6) == [PullFromPeer("peer")]
    assert isinstance(
        follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 9.0), ReadAll
    )


def test_after_a_watch_that_was_cut_all_is_read_anew(watching):
    """The source drops its history and cuts the watches, deaf for a second before.

    A key is taken away in that second. A new watch from the revision known before
    stays silent for seconds, without a word of the lost history, and the key's calls
    go on being served. A whole reading brings the change at once.
    """
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    step = watching.choose_step(
        PollingOrder(HOSTS, 0), NO_AGE, 2.0 + c.SOURCE_RETRY_FIRST_SECONDS
    )
    assert step == ReadAll()
    watching.handle(SourceAnswered(True), 14, HOSTS, 2.1)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 3.0), Watch)


def test_a_host_that_starts_beside_a_silent_source_is_not_held_up(follower):
    """Most hosts were killed while the store is silent; callers are refused.

    The first reading hangs. One peer holds all, the others that restarted hold
    nothing, and what they tell must not let the host forget that it is behind.
    """
    empty = PeerReported("restarted", 0, float("inf"))
    whole = PeerReported("peer", 26, 6.0)
    asked = []
    for step in range(4):
        now = 0.1 * step
        asked += follower.handle(whole, 0, HOSTS, now)
        asked += follower.handle(empty, 0, HOSTS, now + 0.05)
    assert PullFromPeer("peer") in asked
    assert QuerySource() not in asked


def test_peers_that_hold_less_do_not_hide_that_a_watch_is_dead(watching):
    """A target left; work still goes to it, as this host's watch died in silence.

    One peer tells the newer revision. The others' watches are as deaf: they hold what
    this host holds, and their word must not let it forget that it is behind.
    """
    ahead, level = PeerReported("peer", 12, 0.1), PeerReported("deaf", 10, 0.1)
    asked = []
    for step in range(9):
        now = 5.0 + 0.1 * step
        asked += watching.handle(ahead, 10, HOSTS, now)
        asked += watching.handle(level, 10, HOSTS, now + 0.05)
    assert PullFromPeer("peer") in asked
    assert QuerySource() in asked


def test_failures_back_off_further_while_others_ask_too(watching):
    now = 2.0
    for _ in range(10):
        watching.handle(SourceFailed(), 10, HOSTS, now)
        step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, now)
        now += step.seconds
    assert step.seconds > 1.3
    lone = Follower(random.Random(1), 0.0)
    for _ in range(10):
        lone.handle(SourceFailed(), 0, HOSTS, 2.0)
    assert (
        lone.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 2.0).seconds
        <= c.SOURCE_RETRY_MAX_SECONDS
    )


def test_a_source_that_is_back_for_a_peer_is_tried_once_more_at_once(watching):
    """The source is back; a host in a long pause would miss what lapsed meanwhile."""
    for _ in range(8):
        watching.handle(SourceFailed(), 10, HOSTS, 4.0)
    effects = watching.handle(PeerReported("peer", 10, 0.2), 10, HOSTS, 4.5)
    assert QuerySource() in effects
    step = watching.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 4.5)
    assert not isinstance(step, Pause) or step.seconds <= c.RECOVERY_SPREAD_SECONDS
    again = watching.handle(PeerReported("peer", 10, 0.1), 10, HOSTS, 4.6)
    assert QuerySource() not in again


def test_a_source_that_refuses_one_host_only_is_not_asked_at_each_hint(watching):
    """The store turns this host away for long and serves the others.

    Their answers are newer than each failure here, and each call is priced.
    """
    asked = 0
    for step in range(10):
        now = 4.0 + 2.0 * step
        watching.handle(SourceFailed(), 10, HOSTS, now)
        told = PeerReported("peer", 10, 0.1)
        asked += QuerySource() in watching.handle(told, 10, HOSTS, now + 1.0)
    assert asked == 1


def test_an_outage_is_remembered_for_moments(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    watching.handle(SourceAnswered(False), 10, HOSTS, 2.2)
    assert not watching.is_after_outage(2.2)
    watching.handle(SourceFailed(), 10, HOSTS, 3.0)
    watching.handle(SourceAnswered(True), 10, HOSTS, 6.0)
    assert watching.is_after_outage(6.1)
    assert not watching.is_after_outage(6.0 + c.AFTER_OUTAGE_SECONDS)


def test_a_host_that_alone_is_cut_off_from_the_source_knows_of_no_outage(watching):
    """A target leaves; a request reaches it 2.08 s after that, past the bound of 2 s.

    The host had been cut off from the source while its peers told it all. Back in
    touch, it took the withdrawal for a lapse of an outage, and used the target on.
    """
    for now in (2.0, 3.0, 4.0, 5.0):
        watching.choose_step(PollingOrder(HOSTS, 0), 1.5, now)
        watching.handle(SourceFailed(), 10, HOSTS, now)
    watching.choose_step(PollingOrder(HOSTS, 0), 1.5, 6.0)
    watching.handle(SourceAnswered(False), 10, HOSTS, 6.1)
    assert not watching.is_after_outage(6.1)


def test_a_host_that_starts_leaves_the_first_reading_to_the_seeds():
    """300 hosts start at once, and callers are refused for seconds.

    Each reads all by itself, the source bounds their calls together, and refuses most.
    A host that is no seed waits a moment; a peer that has read all is asked at once,
    and while it gives, this host does not ask the source.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.0)
    assert step == Pause(c.SEED_ANSWER_SECONDS)
    follower.handle(PeerReported("seed", 0, float("inf")), 0, 3, 0.01)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.05)
    assert step.seconds == pytest.approx(c.START_WAIT_SECONDS - 0.05)
    told = PeerReported("seed", 12, 0.0)
    assert PullFromPeer("seed") in follower.handle(told, 0, 3, 0.1)
    assert isinstance(follower.choose_step(PollingOrder(3, 0), NO_AGE, 0.3), Pause)


def test_a_host_that_starts_before_all_seeds_does_not_wait_for_them():
    """All hosts lost power, the seeds start last; callers are refused meanwhile."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    step = follower.choose_step(PollingOrder(1, 0), NO_AGE, c.SEED_ANSWER_SECONDS)
    assert step == ReadAll()


def test_what_peers_gave_at_the_start_is_not_read_once_more():
    """Hundreds of hosts start at once, and callers are refused for seconds.

    Each is given all by a peer, and then reads all of it from the source as well: most
    of these calls are refused, and those that nobody has given anything wait for them.
    A short watch from the revision given tells what changed since.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerReported("seed", 12, 0.0), 0, 3, 0.1)
    follower.handle(PeerDataApplied(), 12, 3, 0.2)
    step = follower.choose_step(PollingOrder(3, 0), NO_AGE, 1.0)
    assert step == Watch(c.STANDBY_WATCH_SECONDS)
    follower.handle(SourceAnswered(False), 12, 3, 1.1)
    later = follower.choose_step(PollingOrder(3, 0), NO_AGE, 1.1)
    assert isinstance(later, Watch) and later.seconds > c.STANDBY_WATCH_SECONDS


def test_a_host_that_a_peer_refuses_asks_another_one_at_once():
    """195 hosts start; callers are refused for another second by most of them.

    All ask the few that have read, and each gives to four at a time. One that was
    refused waited for the next word of any peer; others were given all meanwhile.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    for name in ("seed", "fed"):
        follower.handle(PeerReported(name, 12, 0.0), 0, 195, 0.1)
    assert follower.handle(PeerPullFailed("seed"), 0, 195, 0.15) == [
        PullFromPeer("fed")
    ]
    assert isinstance(follower.choose_step(PollingOrder(195, 0), NO_AGE, 0.5), Pause)
    assert follower.handle(PeerPullFailed("fed"), 12, 195, 0.2) == []


def test_a_host_that_only_one_peer_can_give_asks_it_again():
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerReported("seed", 12, 0.0), 0, 195, 0.1)
    assert follower.handle(PeerPullFailed("seed"), 0, 195, 0.15) == [
        PullFromPeer("seed")
    ]


@pytest.mark.parametrize(
    "event", [SourceAnswered(False, is_gap=True), HistoryLost(), SourceFailed()]
)
def test_what_peers_gave_is_read_where_a_change_since_may_be_lost(event):
    """A request runs by a table that was replaced after a peer gave it.

    The source drops its history between the gift and the first watch, or fails, so no
    watch brings the change; the answer's revision or its failure shows that.
    """
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    follower.handle(PeerDataApplied(), 12, 3, 0.2)
    follower.handle(event, 12, 3, 1.1)
    assert follower.choose_step(PollingOrder(3, 0), NO_AGE, 9.0) == ReadAll()


def test_a_host_that_starts_alone_reads_by_itself():
    """The seeds are dead or cut off; nobody tells anything, and the wait is short."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    assert (
        follower.choose_step(PollingOrder(1, 0), NO_AGE, c.START_WAIT_SECONDS)
        == ReadAll()
    )


def test_peers_that_tell_much_and_give_nothing_hold_up_no_start():
    """Each peer is asked and gives nothing; the host still reads within two seconds."""
    follower = Follower(random.Random(1), 0.0, c.START_WAIT_SECONDS)
    for turn in range(40):
        follower.handle(PeerReported("busy", 12, 0.0), 0, 3, 0.1 * turn)
    assert (
        follower.choose_step(PollingOrder(3, 0), NO_AGE, c.MAX_START_WAIT_SECONDS)
        == ReadAll()
    )


def test_a_page_between_refusals_lets_the_reading_go_on_soon(follower):
    for _ in range(6):
        follower.handle(SourceFailed(), 0, HOSTS, 1.0)
    follower.handle(PageRead(), 0, HOSTS, 3.0)
    follower.handle(SourceFailed(), 0, HOSTS, 3.1)
    step = follower.choose_step(PollingOrder(HOSTS, 0), NO_AGE, 3.1)
    assert step.seconds <= c.SOURCE_RETRY_FIRST_SECONDS


def test_an_answer_that_a_host_stood_still_over_is_as_old(watching):
    """A host is suspended with the source's answer in its socket; the table changes.

    Awake, it called itself and all its peers sure of what is published just now.
    """
    assert watching.handle(SourceAnswered(False, False, 2.5), 10, HOSTS, 9.0) == [
        MarkConfirmed(2.5)
    ]


def test_ages_told_to_and_fro_never_fall():
    """Two hosts hear only each other; what they know must not seem ever younger."""
    delay, age, waited = 0.005, 1.0, 0.0
    for _ in range(100):
        age = unpack_age(pack_age(age))
        waited += delay
    assert age >= 1.0 + waited


def test_a_watch_that_nobodys_word_speaks_for_is_given_up(watching):
    """Work goes to a target that left, though the source tells others of it.

    The watches of all hosts in reach got no answer while the source was silent to
    them, and will get none; it answers again, but each host waits for its watch's end.
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


def test_a_source_that_fails_is_not_asked_sooner_as_nobody_confirms(watching):
    watching.handle(SourceFailed(), 10, HOSTS, 2.0)
    assert isinstance(watching.choose_step(PollingOrder(HOSTS, 0), 9.0, 2.0), Pause)
    assert watching.handle(ConfirmationAged(9.0), 10, HOSTS, 2.0) == []
