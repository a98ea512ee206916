"""What of a day's losses no design could have saved."""

from dataclasses import dataclass

import pytest

from tarragonward_bench.days.bounds import (
    Outage,
    Verdict,
    bound_day,
    find_outages,
    judge,
)


@dataclass(frozen=True)
class LostOne:
    asked_at: float
    aim: float = 0.3
    kind: str = "prompt"


def make_report(**told):
    windows = [
        {"name": str(second), "n": 10, "in_aim": in_aim}
        for second, in_aim in ((38, 9), (40, 4), (42, 1), (44, 6), (46, 9))
    ]
    events = [
        {"kind": "zone_cut (drop)", "at_s": 33.5},
        {"kind": "closing (power_off_all)", "at_s": 42.3},
    ]
    counts = {"n": 50, "not_owed": 2, "in_aim": 29, "late": 15, "refused": 2}
    return {"windows": windows, "events": events, "all": counts | {"failed": 2} | told}


def test_a_loss_of_all_hosts_lasts_until_callers_are_served_again():
    assert find_outages(make_report()) == [Outage(42.3, 44.0)]


@pytest.mark.parametrize(
    ("asked_at", "cause", "verdict"),
    [
        (42.1, "late as placed", Verdict.NO_HOST),
        (43.9, "out of reach", Verdict.NO_HOST),
        (41.0, "late as placed", Verdict.CHOICE),
        (44.1, "late though predicted in time", Verdict.NOT_KNOWN),
        (12.0, "failed by its target", Verdict.TARGET_FAILED),
    ],
)
def test_a_request_is_lost_to_what_nobody_could_change_first(asked_at, cause, verdict):
    assert judge(LostOne(asked_at), cause, [Outage(42.3, 44.0)]) is verdict


def test_the_bound_leaves_out_what_no_host_saw():
    found = [
        (LostOne(10.0), "late as placed"),
        (LostOne(10.0), "failed by its target"),
        (LostOne(43.0), "refused"),
        (LostOne(20.0), "left by its caller"),
    ]
    bound = bound_day(make_report(), found)
    assert (bound.asked, bound.unseen) == (48, 16)
    assert bound.most == 48 - 16 - 3
    assert bound.most - bound.in_time == 0
