"""Tests of the limit of concurrent record pulls."""

from tarragonward_gateway import const as c
from tarragonward_gateway.pulls import PullLimit


def test_concurrent_pulls_are_limited():
    """A transfer of a large table takes longer than the interval between pulls.

    If every message of a peer that is ahead started a pull, all pulls would share the
    link and none would finish in time.
    """
    limit = PullLimit()
    begun = [limit.begin(number * c.PEER_PULL_INTERVAL_SECONDS) for number in range(8)]
    assert begun == [True] * c.MAX_PULLS + [False] * (8 - c.MAX_PULLS)


def test_ended_pull_allows_the_next():
    limit = PullLimit()
    assert limit.begin(1.0)
    assert limit.begin(1.3)
    limit.end(1.0)
    assert limit.begin(1.6)
    assert not limit.begin(1.9)


def test_answer_that_arrives_does_not_share_the_link_with_another_from_its_peer():
    """A peer that is ahead says so each 0.2 s, while its large table arrives."""
    limit = PullLimit()
    assert limit.begin(1.0, "a")
    for step in range(1, 8):
        now = 1.0 + step * c.PEER_PULL_INTERVAL_SECONDS
        limit.record_progress(1.0, now - 0.01)
        assert not limit.begin(now, "a")
    assert limit.begin(3.0, "b")


def test_stalled_pull_allows_another_from_its_peer():
    """A connection can go silent for good while new ones to the same peer work."""
    limit = PullLimit()
    assert limit.begin(1.0, "a")
    assert limit.begin(1.1 + c.PULL_STALL_SECONDS, "a")
