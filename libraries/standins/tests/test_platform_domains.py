"""Tests that the checker judges evacuated zones, cold runners and home regions."""

import pytest

from tarragonward_core import Address
from tarragonward_standins.platform_clients import Attempt
from tarragonward_standins.platform_domains import (
    Evacuation,
    find_crowds_at_cold_runners,
    find_sends_away_from_home,
    find_sends_to_evacuated_zones,
)
from tarragonward_standins.platform_runner import Arrival, ColdPeriod

HOST = Address("127.0.0.1", 1)
EVACUATION = Evacuation("a", 10.0, 30.0)


def build_arrival(at, zone="a", status=200, headers=None, number=0):
    return Arrival(
        f"{at}-{number}", "i-1", "s", at, "GET", "/", headers or {}, "", zone=zone,
        status=status,
    )  # fmt: skip


def find_late(arrival, starts=()):
    attempts = [Attempt(arrival.request_id, HOST, arrival.at, {})]
    return find_sends_to_evacuated_zones(
        attempts, [arrival], [EVACUATION], {HOST: starts}
    )


@pytest.mark.parametrize(
    ("at", "zone", "status", "is_violation"),
    [
        (15.1, "a", 200, True),
        (29.9, "a", 503, True),
        (14.9, "a", 200, False),
        (30.1, "a", 200, False),
        (15.1, "b", 200, False),
        (15.1, "a", 421, False),
    ],
)
def test_late_request_in_an_evacuated_zone_is_a_violation(
    at, zone, status, is_violation
):
    assert bool(find_late(build_arrival(at, zone, status))) == is_violation


def test_hosts_that_have_just_started_are_not_judged():
    assert not find_late(build_arrival(20.0), starts=(16.1,))
    assert find_late(build_arrival(20.0), starts=(15.9,))


def build_crowd(count, begin=5.0, seconds=0.9, status=200):
    return [
        build_arrival(begin + seconds * n / count, status=status, number=n)
        for n in range(count)
    ]


def test_more_than_the_bound_within_a_second_is_a_violation():
    period = ColdPeriod("i-1", 2.0, 5.0, 8.0)
    assert find_crowds_at_cold_runners(build_crowd(9), [period])
    assert not find_crowds_at_cold_runners(build_crowd(8), [period])
    assert not find_crowds_at_cold_runners(build_crowd(9, seconds=1.2), [period])


def test_requests_of_another_time_runner_or_boot_are_no_crowd():
    crowd = build_crowd(20)
    assert not find_crowds_at_cold_runners(crowd, [ColdPeriod("i-1", 2.0, 6.0, 8.0)])
    assert not find_crowds_at_cold_runners(crowd, [ColdPeriod("i-2", 2.0, 5.0, 8.0)])
    refused = build_crowd(20, status=421)
    assert not find_crowds_at_cold_runners(refused, [ColdPeriod("i-1", 2.0, 5.0, 8.0)])


def test_request_outside_its_homes_is_a_violation():
    regions = {"a": "north", "b": "south"}
    homes = {"town": frozenset({"north"})}
    sent = [
        build_arrival(1.0, "a", headers={"x-tenant": "town"}),
        build_arrival(2.0, "b", headers={"x-tenant": "town"}),
        build_arrival(3.0, "b", headers={"x-tenant": "village"}),
        build_arrival(4.0, "c", headers={"x-tenant": "town"}),
    ]
    assert find_sends_away_from_home(sent, homes, regions) == ["2.0-0", "4.0-0"]
