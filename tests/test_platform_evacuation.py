"""Tests of real entry hosts while zones are evacuated, return cold, or are no home."""

import asyncio

from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_site import PlatformPlan
from tarragonward_standins.platform_store import StoreFault

SITE = PlatformPlan(models_per_zone=2, cold_per_second=4.0)
SEED = 51204
MIN_SERVED_SHARE = 0.95


async def async_play(site, *steps, seconds=16.0):
    """Play a day with steps at given seconds; return its report and details."""
    plan = DayPlan(seconds=seconds, drafts_per_second=6.0, clients=12, seed=SEED)

    async def async_take_steps():
        begin = asyncio.get_running_loop().time()
        for at, step in steps:
            await asyncio.sleep(begin + at - asyncio.get_running_loop().time())
            outcome = step()
            if asyncio.iscoroutine(outcome):
                await outcome

    report, _ = await asyncio.gather(
        PlatformDay(site, plan).async_play(), async_take_steps()
    )
    logs = "\n".join(site.read_log(host)[-3_000:] for host in site.hosts)
    return report, f"{report.format_line()} {report.violations[:9]}\n{logs}"


def count_arrivals(site, zone, begin, end):
    return sum(begin <= a.at < end for a in site.arrivals if a.zone == zone)


async def test_evacuated_zone_gets_nothing_and_its_return_crowds_no_cold_runner(
    make_platform_site,
):
    """Two zones in turn, the second while its hosts can't read the order."""
    site = await make_platform_site(SITE)
    operator = site.operator

    def refuse_some():
        for host in site.hosts[1:]:
            host.store_endpoint.fault = StoreFault.BUSY

    report, details = await async_play(
        site,
        (1.0, lambda: operator.evacuate("a")),
        (7.5, lambda: operator.take_back("a", cold_seconds=3.0)),
        (8.0, refuse_some),
        (8.5, lambda: operator.evacuate("b")),
        (15.0, lambda: operator.take_back("b", cold_seconds=3.0)),
    )
    assert not report.violations, details
    for order in operator.evacuations:
        begin, end = order.acknowledged_at + 2.0, order.ended_at
        assert not count_arrivals(site, order.zone, begin, end), details
    assert count_arrivals(site, "a", operator.evacuations[0].ended_at, 1e18), details
    score = report.score
    assert score["whole"] >= MIN_SERVED_SHARE * score["sent"], details


async def test_host_that_starts_amid_an_evacuation_keeps_to_it(make_platform_site):
    """All hosts are killed and know nothing of before; the order is still published."""
    site = await make_platform_site(SITE)

    async def async_restart_all():
        for host in site.hosts:
            await site.async_kill_host(host)
        for host in site.hosts:
            await site.async_start_host(host)

    site.operator.evacuate("a")
    await asyncio.sleep(1.0)
    await async_restart_all()
    restarted_at = asyncio.get_running_loop().time()
    report, details = await async_play(site, seconds=8.0)
    assert not count_arrivals(site, "a", restarted_at, 1e18), details
    assert not report.violations, details


async def test_requests_of_a_tenant_stay_in_its_home_region(make_platform_site):
    """Its region is evacuated as well: refused at once, not sent elsewhere."""
    regions = {"a": "north", "b": "south", "c": "south"}
    site = await make_platform_site(PlatformPlan(regions=regions))
    site.homes = {"town0": frozenset({"north"})}
    site.publish(site._document["routes"])
    await asyncio.sleep(2.5)
    site.operator.evacuate("a")
    report, details = await async_play(site, seconds=10.0)
    violated = [rule for rule, _ in report.violations]
    assert "HOME" not in violated and "EVAC" not in violated, details
    ended = [
        attempt
        for request in site.requests
        for attempt in request.attempts
        if site.tenants["town0"] == attempt.headers["x-key"]
        and attempt.sent_at > site.operator.evacuations[0].acknowledged_at + 2.0
    ]
    assert {attempt.status for attempt in ended if attempt.status} == {503}, details
