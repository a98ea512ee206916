"""Tests of the limit that all hosts keep together towards cold targets."""

import random

import pytest

from tarragonward_placement import ColdBound, ColdTargets, HostView

TARGET = 7
RATE = 15.0
BOUND = ColdBound(1.5, 5.0)
ALLOWED_PER_SECOND = RATE * 1.5 + 5.0
WINDOW_SECONDS = 1.0
STEP_SECONDS = 0.01
COLD_SECONDS = 10.0


def name_hosts(count, first=0):
    return frozenset(f"h{number}" for number in range(first, first + count))


def build_views(known, max_known_hosts, **options):
    return {name: HostView(name, known, max_known_hosts, **options) for name in known}


def make_hosts(views, seed=1):
    hosts = {}
    for number, name in enumerate(sorted(views)):
        hosts[name] = ColdTargets(random.Random(seed * 1_000 + number), BOUND)
        hosts[name].record(TARGET, COLD_SECONDS, 0.0)
    return hosts


def send_all(hosts, views, begin=0.0, end=COLD_SECONDS):
    """Let each host send whenever it may; return the times of the sends."""
    sent = []
    for step in range(int(begin / STEP_SECONDS), int(end / STEP_SECONDS)):
        now = step * STEP_SECONDS
        for name, cold in hosts.items():
            if cold.may_send(TARGET, RATE, views[name], now):
                cold.record_send(TARGET)
                sent.append(now)
    return sent


def count_busiest_second(sent):
    return max(sum(at <= s < at + WINDOW_SECONDS for s in sent) for at in set(sent))


@pytest.mark.parametrize("hosts", [1, 9, 68, 195, 320])
def test_hosts_together_stay_within_the_bound_and_use_most_of_it(hosts):
    """A domain returns cold, and each host finds the same idle target at once."""
    views = build_views(name_hosts(hosts), hosts)
    sent = send_all(make_hosts(views), views)
    assert count_busiest_second(sent) <= ALLOWED_PER_SECOND
    assert len(sent) >= 0.8 * RATE * COLD_SECONDS


@pytest.mark.parametrize("seed", range(50))
def test_cuts_frozen_and_killed_hosts_break_no_bound(seed):
    """Each side of a cut drops the other from its view; some wake or start amid it."""
    draw = random.Random(seed)
    count = draw.choice((9, 68, 195, 320))
    known = name_hosts(count)
    cut = draw.randrange(1, count)
    views = {}
    for side in (name_hosts(cut), name_hosts(count - cut, cut)):
        views |= build_views(side if draw.random() < 0.5 else known, count)
    for name in draw.sample(sorted(known), count // 5):
        views[name] = HostView(name, frozenset({name}), 3, is_starting=True)
    hosts = make_hosts(views, seed)
    for name in draw.sample(sorted(known), count // 10):
        hosts.pop(name)
    sent = send_all(hosts, views, end=3.0)
    assert not sent or count_busiest_second(sent) <= ALLOWED_PER_SECOND


def test_allowances_saved_in_a_lull_fit_within_the_bound():
    """No caller asks for seconds, then all hosts send at the same moment."""
    views = build_views(name_hosts(68), 68)
    hosts = make_hosts(views)
    for name, cold in hosts.items():
        cold.may_send(TARGET, RATE, views[name], 0.0)
    sent = send_all(hosts, views, begin=6.0)
    assert count_busiest_second(sent) <= ALLOWED_PER_SECOND


def test_a_host_that_has_just_started_sends_nothing_to_a_cold_target():
    """It knows no other host yet, and would take the whole rate for itself."""
    view = HostView("h1", name_hosts(1), 1, is_starting=True)
    cold = make_hosts({"h1": view})["h1"]
    assert not send_all({"h1": cold}, {"h1": view})
    assert cold.compute_wait(TARGET, RATE, view, 0.0) == COLD_SECONDS


def test_a_target_is_limited_only_while_it_is_cold():
    cold = ColdTargets(random.Random(1), BOUND)
    view = HostView("h1", name_hosts(320), 320)
    assert cold.may_send(TARGET, RATE, view, 0.0)
    assert cold.record(TARGET, 3.0, 0.0)
    assert not cold.record(TARGET, 3.0, 1.0)
    assert cold.is_cold(TARGET, 3.9)
    assert not cold.is_cold(TARGET, 4.0)
    assert cold.may_send(TARGET, RATE, view, 4.0)
    assert cold.compute_wait(TARGET, RATE, view, 4.0) == 0.0


def test_an_entry_ends_what_was_assumed():
    cold = ColdTargets(random.Random(1), BOUND)
    cold.record(TARGET, 60.0, 0.0)
    assert not cold.record(TARGET, 0.0, 1.0)
    assert not cold.is_cold(TARGET, 1.0)
    assert not len(cold)


def test_service_without_a_rate_is_not_limited():
    views = build_views(name_hosts(9), 9)
    cold = make_hosts(views)["h1"]
    assert all(cold.may_send(TARGET, 0.0, views["h1"], 0.0) for _ in range(100))


def test_targets_that_are_gone_or_warm_are_forgotten():
    cold = ColdTargets(random.Random(1), BOUND)
    cold.record(1, 3.0, 0.0)
    cold.record(2, 9.0, 0.0)
    cold.record(3, 9.0, 0.0)
    cold.keep_only({1, 2}, 4.0)
    assert len(cold) == 1
    assert cold.is_cold(2, 4.0)
