"""Tests of targets that have just started and tolerate few requests."""

from dataclasses import replace

import pytest

from tarragonward_gateway.sending import ColdTargetTask
from tarragonward_membership import RegisteredTarget, hash_name
from tarragonward_placement import HostView
from tarragonward_standins import answer_with

RATE = 1.0


@pytest.fixture
def make_cold_site(make_site):
    """Return a function that makes a site whose service has a cold rate."""

    async def async_make(*scripts):
        site = await make_site(*scripts)
        table = site.state.table
        service = replace(
            table.services["s"], cold_seconds=5.0, cold_requests_per_second=RATE
        )
        site.state.table = replace(table, services={"s": service})
        return site, ColdTargetTask(site.state, site.chooser.send_limits)

    return async_make


def build_entry(site, number, cold_seconds, revision=50):
    target = site.targets[number]
    return RegisteredTarget(
        target.id, "s", target.address, "d1", 8, True, revision, cold_seconds
    )


async def test_cold_target_gets_few_requests(make_cold_site):
    """It is idle, so each request would go there, and it would crash."""
    site, task = await make_cold_site(answer_with(), answer_with())
    task.record_entry(build_entry(site, 0, 60.0))
    for _ in range(30):
        assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) <= 2
    assert len(site.targets[1].requests) >= 28


async def test_requests_are_refused_with_a_wait_if_all_targets_are_cold(make_cold_site):
    site, task = await make_cold_site(answer_with())
    task.record_entry(build_entry(site, 0, 60.0))
    answers = [await site.async_ask() for _ in range(6)]
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) >= 4
    assert all(0 < float(each.get("retry-after")[0]) <= 1.2 for each in refused)
    assert site.runs == len(answers) - len(refused)


async def test_entry_that_says_warm_ends_the_limit(make_cold_site):
    site, task = await make_cold_site(answer_with())
    task.record_entry(build_entry(site, 0, 60.0))
    task.record_entry(build_entry(site, 0, 0.0, revision=51))
    answers = [await site.async_ask() for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


async def test_targets_of_a_returned_domain_count_as_cold_until_they_publish(
    make_cold_site,
):
    """They became cold while empty, and their entries say so a second later."""
    site, task = await make_cold_site(answer_with(), answer_with())
    task.record_domain_return("d1")
    cold = site.chooser.send_limits.cold
    assert len(cold) == 2
    task.record_entry(build_entry(site, 0, 0.0))
    assert len(cold) == 1
    task.record_domain_return("d9")
    assert len(cold) == 1


async def test_answer_states_that_its_target_is_cold(make_cold_site):
    """A target may become cold again at any moment."""
    answer = answer_with(lines=["X-Target-Cold-Ms: 4000"])
    site, _ = await make_cold_site(answer)
    assert (await site.async_ask()).status == 200
    cold = site.chooser.send_limits.cold
    assert len(cold) == 1
    assert [(await site.async_ask()).status for _ in range(4)].count(503) >= 3


@pytest.mark.parametrize("value", ["", "soon", "-1", "1e3"])
async def test_other_values_state_nothing(make_cold_site, value):
    site, _ = await make_cold_site(answer_with(lines=[f"X-Target-Cold-Ms: {value}"]))
    assert (await site.async_ask()).status == 200
    assert not len(site.chooser.send_limits.cold)


async def test_one_of_many_hosts_takes_its_share_only(make_cold_site):
    site, task = await make_cold_site(answer_with(), answer_with())
    limits = site.chooser.send_limits
    names = frozenset(f"h{number}" for number in range(320))
    limits.get_host_view = lambda: HostView("h1", names, 320)
    task.record_entry(build_entry(site, 0, 60.0))
    for _ in range(10):
        await site.async_ask()
    assert len(site.targets[0].requests) <= 1


async def test_refunded_send_can_be_sent_again(make_cold_site):
    """A request that never got its connection must not use the share up."""
    site, task = await make_cold_site(answer_with())
    task.record_entry(build_entry(site, 0, 60.0))
    limits, target = site.chooser.send_limits, build_entry(site, 0, 60.0)
    number = hash_name(target.id)
    limits.cold._limits.record_advertised(number, RATE, 0.0)
    limits.record_send(target)
    limits.refund_send(target)
    assert limits.cold._limits._limits[number].allowance > 0.0
