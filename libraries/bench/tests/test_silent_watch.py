"""Hosts whose watch goes silent stop using withdrawn targets in time."""

import pytest

from tarragonward_bench.hearing.silent_watch import (
    DRAIN_SECONDS,
    compute_use_seconds,
    run_silent_watch,
)
from tarragonward_gateway import const as c

# On the product's own clock; the rest of the drain time is for the send.
MAX_USE_SECONDS = DRAIN_SECONDS - c.SEND_MARGIN_SECONDS


@pytest.mark.parametrize(("hosts", "seeds"), [(3, 30), (9, 15), (40, 4)])
def test_withdrawn_targets_are_used_within_the_drain_time(hosts, seeds):
    """The last host's watch goes silent, and a third of a service is withdrawn."""
    for seed in range(1, seeds + 1):
        used = compute_use_seconds(run_silent_watch(seed, hosts))
        assert used <= MAX_USE_SECONDS, f"seed {seed}"
