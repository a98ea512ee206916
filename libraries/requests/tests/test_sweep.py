"""Tests of the orphan sweep."""

import pytest

from tarragonward_core import Address, HostIdentity
from tarragonward_requests import HeldResource, OrphanSweep, OwnerStatus

SELF = HostIdentity(Address("127.0.0.1", 1), 1)
OWNER = HostIdentity(Address("127.0.0.1", 2), 2)


def make_resources(*ids, owner=OWNER):
    return [HeldResource("engine-1", held_id, str(owner)) for held_id in ids]


def report_at(sweep, held, now, active=frozenset(), reported=("engine-1",)):
    return sweep.process_reports(held, set(reported), active, now)


@pytest.mark.parametrize(
    ("status", "seconds"),
    [
        (OwnerStatus.REPLACED, 0),
        (OwnerStatus.REFUSED, 3),
        (OwnerStatus.UNREACHABLE, 30),
        (OwnerStatus.ALIVE, None),
    ],
)
def test_an_owner_is_gone_only_after_its_status_has_persisted(status, seconds):
    sweep = OrphanSweep(SELF)
    assert report_at(sweep, make_resources("a"), 0) == []
    sweep.record_owner_status(OWNER, status, 1)
    if seconds is None:
        assert report_at(sweep, make_resources("a"), 10_000) == []
        return
    if seconds:
        assert report_at(sweep, make_resources("a"), 1 + seconds - 0.1) == []
    assert report_at(sweep, make_resources("a"), 1 + seconds) == make_resources("a")


def test_the_grace_time_of_a_partitioned_owner_doubles():
    """The sweeping host is partitioned from an owner that is alive.

    The owner's stream is cancelled after 30 s. A new stream proves that the owner is
    alive, so it is kept for 60 s, the next one for 120 s. A request is delayed a few
    times at most, and its caller still gets the answer.
    """
    sweep = OrphanSweep(SELF)
    report_at(sweep, make_resources("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.UNREACHABLE, 0)
    assert report_at(sweep, make_resources("a"), 30) == make_resources("a")
    assert report_at(sweep, make_resources("b"), 31) == []
    assert report_at(sweep, make_resources("b"), 90.9) == []
    assert report_at(sweep, make_resources("b"), 91) == make_resources("b")
    assert report_at(sweep, make_resources("c"), 92) == []
    assert report_at(sweep, make_resources("c"), 92 + 119) == []


def test_a_missing_report_is_no_evidence_that_an_owner_is_alive():
    sweep = OrphanSweep(SELF)
    report_at(sweep, make_resources("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.UNREACHABLE, 0)
    assert report_at(sweep, [], 20, reported=()) == []
    assert report_at(sweep, make_resources("a"), 30) == make_resources("a")


def test_a_long_sweep_interval_does_not_make_old_streams_look_new():
    """In a large fleet, swept once a minute, a dead owner's last stream shows late."""
    sweep = OrphanSweep(SELF)
    sweep.lag_seconds = 125.0
    report_at(sweep, make_resources("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.REFUSED, 0)
    assert report_at(sweep, make_resources("a", "b"), 60) == make_resources("a", "b")


def test_own_orphans_are_cancelled_and_active_streams_are_kept():
    """An engine that was frozen until cancellation was abandoned keeps a stream."""
    sweep = OrphanSweep(SELF)
    held = make_resources("left", "read", owner=SELF)
    assert report_at(sweep, held, 0, active={"read"}) == []
    assert report_at(sweep, held, 5, active={"read"}) == make_resources(
        "left", owner=SELF
    )


def test_resources_with_an_unknown_owner_are_kept():
    sweep = OrphanSweep(SELF)
    held = [HeldResource("engine-1", "a", "somebody else")]
    assert report_at(sweep, held, 0) == []
    assert report_at(sweep, held, 10_000) == []
    assert sweep.get_owners() == []
