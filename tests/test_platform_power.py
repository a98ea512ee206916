"""Tests of real hosts whose runners, and perhaps they themselves, lose power."""

import pytest

from tarragonward_bench.power_runs import (
    PLAN,
    PowerPlan,
    async_play_power_loss,
    run_power_seed,
)
from tarragonward_standins.platform_power import PowerLoss


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
