"""Runs of the renewal of memory keep its bound, and detect a look that lasts."""

import pytest

from tarragonward_bench.reservation_runs import run_reservation_seed
from tarragonward_placement import ReservationTracker


def test_memory_is_free_in_time_after_its_use_and_not_before():
    """Answers, calls and parts of the use are lost in all ways."""
    for seed in range(1, 101):
        run_reservation_seed(seed)


def test_runs_detect_a_look_that_is_believed_for_good(monkeypatch):
    """Memory that was once in use was renewed for as long as the send lasted."""
    choose = ReservationTracker.choose_hold
    seen = set()

    def look_once(tracker, use, looked_at, now):
        hold = choose(tracker, use, looked_at, now)
        if tracker._used_at is not None:
            seen.add(tracker)
        return 2.8 if tracker in seen else hold

    monkeypatch.setattr(ReservationTracker, "choose_hold", look_once)
    with pytest.raises(AssertionError, match="memory was kept"):
        for seed in range(1, 5):
            run_reservation_seed(seed)
