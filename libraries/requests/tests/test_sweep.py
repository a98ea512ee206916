"""Tests of the sweep's decisions."""

import pytest

from tarragonward_core import Address, HostIdentity
from tarragonward_requests import HeldResource, OrphanSweep, OwnerStatus

ME = HostIdentity(Address("127.0.0.1", 1), 1)
OWNER = HostIdentity(Address("127.0.0.1", 2), 2)


def hold(*ids, owner=OWNER):
    return [HeldResource("engine-1", held_id, str(owner)) for held_id in ids]


def sweep_at(sweep, held, now, active=frozenset(), reported=("engine-1",)):
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
def test_an_owner_is_gone_only_after_its_sign_has_lasted(status, seconds):
    sweep = OrphanSweep(ME)
    assert sweep_at(sweep, hold("a"), 0) == []
    sweep.record_owner_status(OWNER, status, 1)
    if seconds is None:
        assert sweep_at(sweep, hold("a"), 10_000) == []
        return
    if seconds:
        assert sweep_at(sweep, hold("a"), 1 + seconds - 0.1) == []
    assert sweep_at(sweep, hold("a"), 1 + seconds) == hold("a")


def test_an_owner_that_is_only_cut_off_keeps_its_next_stream_for_longer():
    """The sweeper can't reach a living owner; the caller still gets its answer.

    Its stream is cancelled after 30 s, it makes a new attempt elsewhere on the engine,
    and that stream, begun after the cut, proves it alive: it is left for 60 s, then
    120 s, so a request is held up a few times at most and never for good.
    """
    sweep = OrphanSweep(ME)
    sweep_at(sweep, hold("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.UNREACHABLE, 0)
    assert sweep_at(sweep, hold("a"), 30) == hold("a")
    assert sweep_at(sweep, hold("b"), 31) == []
    assert sweep_at(sweep, hold("b"), 90.9) == []
    assert sweep_at(sweep, hold("b"), 91) == hold("b")
    assert sweep_at(sweep, hold("c"), 92) == []
    assert sweep_at(sweep, hold("c"), 92 + 119) == []


def test_an_engine_that_misses_a_report_proves_no_owner_alive():
    sweep = OrphanSweep(ME)
    sweep_at(sweep, hold("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.UNREACHABLE, 0)
    assert sweep_at(sweep, [], 20, reported=()) == []
    assert sweep_at(sweep, hold("a"), 30) == hold("a")


def test_a_sweep_that_reads_seldom_takes_no_old_stream_for_a_sign_of_life():
    """A large fleet is swept once a minute; a dead owner's last stream shows late."""
    sweep = OrphanSweep(ME)
    sweep.lag_seconds = 125.0
    sweep_at(sweep, hold("a"), 0)
    sweep.record_owner_status(OWNER, OwnerStatus.REFUSED, 0)
    assert sweep_at(sweep, hold("a", "b"), 60) == hold("a", "b")


def test_own_leftovers_are_cancelled_and_own_work_is_spared():
    """An engine frozen for longer than cancels are repeated still has our stream."""
    sweep = OrphanSweep(ME)
    held = hold("left", "read", owner=ME)
    assert sweep_at(sweep, held, 0, active={"read"}) == []
    assert sweep_at(sweep, held, 5, active={"read"}) == hold("left", owner=ME)


def test_what_no_host_made_is_left_alone():
    sweep = OrphanSweep(ME)
    held = [HeldResource("engine-1", "a", "somebody else")]
    assert sweep_at(sweep, held, 0) == []
    assert sweep_at(sweep, held, 10_000) == []
    assert sweep.get_owners() == []
