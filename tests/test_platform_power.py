"""Tests of real hosts whose runners, and perhaps they themselves, lose power."""

import asyncio
import socket
from contextlib import ExitStack
from functools import partial

import pytest

from tarragonward_bench.power_runs import (
    PLAN,
    PowerPlan,
    async_play_power_loss,
    run_power_seed,
)
from tarragonward_standins.platform_day import DayPlan, PlatformDay
from tarragonward_standins.platform_power import PowerLoss
from tarragonward_standins.platform_readiness import async_wait_ready

TAKEN_SECONDS = 2.0


@pytest.mark.parametrize("hosts_lost", [0, 2])
async def test_lookup_in_progress_at_all_runners_is_served_after_a_power_loss(
    make_platform_site, hosts_lost
):
    """The loss of all targets at once must not be held against what ran there."""
    site = await make_platform_site(PLAN)
    assert await async_play_power_loss(site, PowerPlan(hosts_lost=hosts_lost))


async def test_lookups_are_served_after_three_power_losses(make_platform_site):
    """Each loss finds the same few lookups in progress at several runners."""
    site = await make_platform_site(PLAN)
    plan = PowerPlan(losses=(PowerLoss(),) * 3, distinct_lookups=2)
    assert await async_play_power_loss(site, plan)


@pytest.mark.parametrize("seed", [1, 2])
def test_service_is_back_in_time_after_losses_of_all_machines(seed):
    """Runners, hosts and the store are lost together, at once or one by one."""
    assert run_power_seed(seed)


async def test_hosts_whose_port_is_taken_at_their_start_serve_when_it_is_free(
    make_platform_site,
):
    """The ports of all hosts were taken for a while when they returned."""
    site = await make_platform_site(PLAN)
    for host in site.hosts:
        await site.async_kill_host(host)
    with ExitStack() as stack:
        for host in site.hosts:
            taken = stack.enter_context(socket.socket())
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            taken.bind((host.front.host, host.front.port))
            taken.listen()
            await site.async_start_host(host)
        await asyncio.sleep(TAKEN_SECONDS)
    for host in site.hosts:
        assert host.process.returncode is None, site.read_log(host)[-2_000:]
        read_log = partial(site.read_log, host)
        await async_wait_ready(host.ready, host.process, read_log)
    report = await PlatformDay(site, DayPlan(seconds=2.0)).async_play()
    assert report.is_good, report.format_line()
