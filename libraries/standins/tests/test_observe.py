"""Tests of the load balancer stand-in."""

import asyncio
from types import SimpleNamespace

from tarragonward_standins import ScriptedTarget, answer_with
from tarragonward_standins.observe import Balancer


async def test_hanging_host_does_not_delay_other_health_checks():
    """The health checks of one host time out while another host is healthy.

    If rounds waited for the slowest check, a draining host would get requests for
    longer than its drain notice, and refuse them.
    """

    async def async_hang(request, writer):
        await asyncio.sleep(30)

    targets = {
        "well": ScriptedTarget(answer_with()),
        "hung": ScriptedTarget(async_hang),
    }
    for target in targets.values():
        await target.async_setup()
    hosts = {
        name: SimpleNamespace(name=name, operators=target.address, failure_domain="")
        for name, target in targets.items()
    }
    balancer = Balancer(SimpleNamespace(hosts=hosts))
    await balancer.async_setup()
    async with asyncio.timeout(30):
        while len(targets["hung"].requests) < 4:
            await asyncio.sleep(0.01)
    await balancer.async_unload()
    assert len(targets["well"].requests) > 5
    assert {balancer.choose().name for _ in range(4)} == {"well"}
    for target in targets.values():
        await target.async_unload()
