"""Tests that the checker judges prompts with segments that crash runners."""

import pytest

from tarragonward_core import Address
from tarragonward_standins.platform_clients import Attempt, ClientRequest, RequestPlan
from tarragonward_standins.platform_runner import Arrival
from tarragonward_standins.platform_segments import (
    count_sound_prompts,
    find_neglected_prompts,
    find_sends_of_crashing_segments,
)

HOST = Address("127.0.0.1", 1)
DEADLY = "c0:40,dead:9,{}:5"
FIFTH_CRASH_AT = 24.0
KNOWN_AT = FIFTH_CRASH_AT + 3.0


class Day:
    """Requests at one host and their arrivals at runners, made one by one."""

    def __init__(self):
        self.requests = []
        self.arrivals = []

    def add(self, at, prefix, key="k", has_run=True, crashes=False, host=HOST):
        number = len(self.requests)
        prefix = prefix.format(f"{number:x}")
        plan = RequestPlan(
            "/a/", "stream", "h", "/a/", headers=(("X-Prompt-Prefix", prefix),)
        )
        attempt = Attempt(f"r{number}", host, at, {"x-key": key})
        self.requests.append(ClientRequest(plan, at, [attempt]))
        if not has_run:
            return
        headers = {"x-prompt-prefix": prefix}
        arrival = Arrival(
            f"r{number}", f"i{number}", "s", at, "POST", "/a/", headers, ""
        )
        arrival.has_run = True
        if crashes:
            arrival.crashing_segment, arrival.runner_crashed_at = "dead", at
        self.arrivals.append(arrival)

    def add_crashes(self, count=5):
        for number in range(count):
            self.add(FIFTH_CRASH_AT - 4 + number, DEADLY, crashes=True)


@pytest.mark.parametrize(
    ("late", "at", "is_violation"),
    [(4, KNOWN_AT + 0.1, True), (3, KNOWN_AT + 0.1, False), (9, KNOWN_AT, False)],
)
def test_sends_of_a_segment_once_it_is_known_are_a_violation(late, at, is_violation):
    day = Day()
    day.add_crashes()
    for _ in range(late):
        day.add(at, DEADLY)
    found = list(find_sends_of_crashing_segments(day.requests, day.arrivals, {}))
    assert bool(found) == is_violation


def test_four_crashes_make_no_segment_known():
    day = Day()
    day.add_crashes(4)
    for _ in range(9):
        day.add(KNOWN_AT + 5, DEADLY)
    assert not list(find_sends_of_crashing_segments(day.requests, day.arrivals, {}))


def test_hosts_that_have_just_started_are_not_judged_for_a_segment():
    day = Day()
    day.add_crashes()
    for _ in range(4):
        day.add(KNOWN_AT + 1, DEADLY)
    starts = {HOST: [KNOWN_AT]}
    assert not list(find_sends_of_crashing_segments(day.requests, day.arrivals, starts))


def build_sound_day(before, after, begun_after, prefix="c0:40,5:9,{}:5", key="q"):
    """Return a day with so many sound prompts, all begun before the crashes."""
    day = Day()
    for _ in range(before):
        day.add(12.0, prefix, key)
    day.add_crashes()
    for number in range(after):
        day.add(FIFTH_CRASH_AT + 6.1, prefix, key, has_run=number < begun_after)
    day.add(FIFTH_CRASH_AT + 7, DEADLY, has_run=False)
    return day


@pytest.mark.parametrize(
    ("day", "shared"),
    [
        (build_sound_day(20, 20, 9), {"first segment"}),
        (build_sound_day(20, 20, 10), set()),
        (build_sound_day(19, 99, 0), set()),
        (build_sound_day(20, 19, 0), set()),
        (build_sound_day(20, 20, 9, prefix="e:40,{}:5", key="k"), {"key"}),
        (build_sound_day(20, 20, 9, key="k"), {"key", "first segment"}),
        (build_sound_day(20, 20, 9, prefix="e:40,{}:5"), set()),
    ],
)
def test_sound_prompts_that_are_refused_with_a_segment_are_a_violation(day, shared):
    found = list(find_neglected_prompts(day.requests, day.arrivals))
    assert len(found) == len(shared)
    assert all(any(name in each for each in found) for name in shared)


def test_sound_prompts_after_the_last_one_with_the_segment_are_not_compared():
    day = build_sound_day(20, 20, 0)
    day.requests.pop()
    counted = list(count_sound_prompts(day.requests, day.arrivals))
    assert counted and not any(each.is_comparable for each in counted)
