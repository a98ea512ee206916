"""Tests of real hosts that lose their links to the runners."""

import asyncio

import pytest

from tarragonward_bench.link_runs import run_links_seed
from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_links import CutKind
from tarragonward_standins.platform_site import PlatformPlan

CUT_AFTER_SECONDS = 0.5
CUT_SECONDS = 5.5


async def async_play(site, hosts, kind, seed):
    seconds = CUT_AFTER_SECONDS + CUT_SECONDS + 1.0
    day = DayPlan(seconds=seconds, keeps_connections=False, seed=seed)
    playing = asyncio.ensure_future(PlatformDay(site, day).async_play())
    await asyncio.sleep(CUT_AFTER_SECONDS)
    for host in hosts:
        site.cut_from_runners(host, kind)
    await asyncio.sleep(CUT_SECONDS)
    for host in hosts:
        host.links.restore()
    return await playing


def format_failure(site, report):
    """Return the report and the ends of the hosts' logs for a failed assertion."""
    logs = "\n".join(site.read_log(host)[-2_000:] for host in site.hosts)
    return f"{report.format_line()} {report.score} {report.violations[:9]}\n{logs}"


@pytest.mark.parametrize("kind", list(CutKind))
async def test_callers_of_hosts_cut_off_from_all_runners_are_served(
    make_platform_site, kind
):
    """Hosts that lose their links to all runners must not refuse what others serve."""
    site = await make_platform_site(PlatformPlan())
    report = await async_play(site, site.hosts[:2], kind, seed=45)
    assert not report.violations, format_failure(site, report)


@pytest.mark.parametrize("seed", [1, 2])
def test_hosts_cut_off_from_runners_at_random_break_no_rule(seed):
    """Cuts of parts and of whole zones meet crashes of runners and paused peers."""
    assert run_links_seed(seed) > 100
