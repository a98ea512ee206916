"""Tests of whether a stream migrates when its engine starts a long prefill."""

import pytest

from tarragonward_placement import EngineUsage, predict_event_wait, should_migrate

PAUSE_AIM = 0.25


@pytest.mark.parametrize(
    ("wait_seconds", "wait_elsewhere_seconds", "migrates"),
    [
        (2.3, 0.1, True),
        (2.3, 0.24, False),
        (0.26, 0.1, False),
        (0.2, 0.1, False),
        (2.3, 2.4, False),
    ],
)
def test_a_stream_migrates_only_if_it_is_late_here_and_in_time_there(
    wait_seconds, wait_elsewhere_seconds, migrates
):
    assert should_migrate(wait_seconds, wait_elsewhere_seconds, PAUSE_AIM) is migrates


def test_a_slow_engine_delays_its_streams_longer():
    work = EngineUsage(prefill_seconds=0.2, slowdown=2.0)
    assert predict_event_wait(work, 0.05) == pytest.approx(0.5)
