"""Tests of the bound on the requests that can be in time."""

from dataclasses import dataclass

import pytest

from tarragonward_bench.days.bounds import (
    Outage,
    Verdict,
    compute_bound,
    find_outages,
    find_verdict,
)


@dataclass(frozen=True)
class FakeLostRequest:
    received_at: float
    aim: float = 0.3
    kind: str = "prompt"


def make_report(**totals):
    windows = [
        {"name": str(second), "n": 10, "in_aim": in_aim}
        for second, in_aim in ((38, 9), (40, 4), (42, 1), (44, 6), (46, 9))
    ]
    events = [
        {"kind": "zone_cut (drop)", "at_s": 33.5},
        {"kind": "closing (power_off_all)", "at_s": 42.3},
    ]
    counts = {"n": 50, "not_owed": 2, "in_aim": 29, "late": 15, "refused": 2}
    return {
        "windows": windows,
        "events": events,
        "all": counts | {"failed": 2} | totals,
    }


def test_outage_lasts_until_most_requests_are_in_time_again():
    assert find_outages(make_report()) == [Outage(42.3, 44.0)]


@pytest.mark.parametrize(
    ("received_at", "cause", "verdict"),
    [
        (42.1, "late as placed", Verdict.NO_HOST),
        (43.9, "out of reach", Verdict.NO_HOST),
        (41.0, "late as placed", Verdict.CHOICE),
        (44.1, "late though predicted in time", Verdict.NOT_KNOWN),
        (12.0, "failed by its target", Verdict.TARGET_FAILED),
    ],
)
def test_outage_takes_precedence_over_the_cause(received_at, cause, verdict):
    assert (
        find_verdict(FakeLostRequest(received_at), cause, [Outage(42.3, 44.0)])
        is verdict
    )


def test_bound_excludes_requests_that_no_host_logged():
    losses = [
        (FakeLostRequest(10.0), "late as placed"),
        (FakeLostRequest(10.0), "failed by its target"),
        (FakeLostRequest(43.0), "refused"),
        (FakeLostRequest(20.0), "left by its caller"),
    ]
    bound = compute_bound(make_report(), losses)
    assert (bound.owed, bound.unseen) == (48, 16)
    assert bound.max_in_time == 48 - 16 - 3
    assert bound.max_in_time - bound.in_time == 0
