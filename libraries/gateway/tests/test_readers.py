"""Tests of which hosts poll the source of publications and which stand by."""

import random

import pytest

from tarragonward_gateway import const as c
from tarragonward_gateway.follow_events import (
    MarkConfirmed,
    Pause,
    PeerReported,
    PullFromPeer,
    ReadAll,
    SourceAnswered,
    SourceFailed,
    Watch,
)
from tarragonward_gateway.following import Follower
from tarragonward_gateway.readers import KnownHost, PollingOrder, choose_polling_order
from tarragonward_placement import LocatedMember
from tarragonward_placement.const import MAX_SINGLE_CELL_HOSTS

DOMAINS = ("a", "b", "c")
STANDBY = PollingOrder(18, 1, standby_rank=0, group=frozenset({"x"}))
POLLER = PollingOrder(18, 1, group=frozenset({"x"}))


def build_hosts(count):
    return [LocatedMember(f"10.0.{n}.1:7000", DOMAINS[n % 3]) for n in range(count)]


def choose_all(hosts, silent=()):
    known = [KnownHost(h, 60.0 if h.name in silent else 0.0) for h in hosts]
    return {
        own.name: choose_polling_order(own, [k for k in known if k.located != own])
        for own in hosts
    }


@pytest.fixture
def standby():
    follower = Follower(random.Random(1), 0.0)
    follower.handle(SourceAnswered(False), 10, 75, 1.0)
    follower.choose_step(STANDBY, 0.0, 1.0)
    return follower


def test_all_hosts_of_a_small_fleet_poll():
    places = choose_all(build_hosts(MAX_SINGLE_CELL_HOSTS)).values()
    assert {place.rank for place in places} == set(range(MAX_SINGLE_CELL_HOSTS))
    assert all(place.standby_rank is None for place in places)


def test_two_hosts_of_each_group_poll():
    places = choose_all(build_hosts(75))
    pollers = [place for place in places.values() if place.standby_rank is None]
    groups = {place.group for place in places.values()}
    assert len(pollers) == c.POLLERS_PER_GROUP * len(groups) == pollers[0].poller_count
    assert {place.rank for place in pollers} == set(range(len(pollers)))
    assert all(name in place.group for name, place in places.items())


def test_silent_poller_is_replaced():
    hosts = build_hosts(75)
    before = choose_all(hosts)
    dead = {name for name, place in before.items() if place.standby_rank is None}
    after = choose_all(hosts, silent=dead)
    again = [n for n, p in after.items() if p.standby_rank is None and n not in dead]
    assert len(again) == len(dead)


def test_standby_polls_once_its_data_is_not_confirmed(standby):
    """A standby must poll when both pollers of its group have died.

    Its data is no longer confirmed, and requests would go to targets that have left.
    After a second its own short watch shows what is new, also to the other standbys.
    """
    step = standby.choose_step(STANDBY, 0.3, 2.0)
    assert step == Pause(pytest.approx(c.STANDBY_POLL_AGE_SECONDS - 0.3))
    assert standby.choose_step(STANDBY, c.STANDBY_POLL_AGE_SECONDS, 3.0) == Watch(
        c.STANDBY_WATCH_SECONDS
    )
    behind = PollingOrder(18, 1, standby_rank=4, group=STANDBY.group)
    assert isinstance(
        standby.choose_step(behind, c.STANDBY_POLL_AGE_SECONDS, 3.0), Pause
    )


def test_standby_that_is_behind_pulls_from_a_peer_at_once(standby):
    report = PeerReported("peer", 11, 0.01)
    assert standby.handle(report, 10, 75, 1.1) == [PullFromPeer("peer")]
    assert standby.handle(report, 10, 75, 1.1 + c.BEHIND_GRACE_SECONDS) == [
        PullFromPeer("peer")
    ]
    assert standby.handle(report, 11, 75, 2.0) == [MarkConfirmed(0.01)]
    assert isinstance(standby.choose_step(STANDBY, 0.01, 2.0), Pause)


def test_failures_of_a_standby_end_when_it_is_confirmed_again(standby):
    """Old failures of a standby must not make a later single one a long outage."""
    standby.choose_step(STANDBY, 9.0, 2.0)
    standby.handle(SourceFailed(), 10, 75, 2.0)
    assert standby.choose_step(STANDBY, 9.0, 2.9) == ReadAll()
    assert isinstance(standby.choose_step(STANDBY, 0.1, 3.0), Pause)
    standby.choose_step(STANDBY, 9.0, 50.0)
    standby.handle(SourceFailed(), 10, 75, 50.0)
    assert standby.failures == 1
    assert not standby.is_after_outage(50.0)


def test_watches_of_pollers_are_staggered_after_a_change():
    follower = Follower(random.Random(1), 0.0)
    follower.handle(SourceAnswered(True), 10, 75, 1.0)
    waits = [
        follower.choose_step(
            PollingOrder(18, rank, group=POLLER.group), 0.0, 2.0
        ).seconds
        for rank in range(18)
    ]
    slots = [c.POLLER_WATCH_STAGGER_SECONDS * (rank + 1) for rank in range(18)]
    assert waits == pytest.approx(slots)
