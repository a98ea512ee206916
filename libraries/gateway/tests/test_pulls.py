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
