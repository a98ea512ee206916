"""Tests of the stand-in of the balancer."""

import asyncio
from types import SimpleNamespace

from tarragonward_standins import ScriptedTarget, answer_with
from tarragonward_standins.observe import Balancer


async def test_a_host_that_hangs_puts_off_no_other_hosts_check():
    """One host's checks run into their time-out; another one is about to leave.

    Checked in rounds that wait for the slowest, the leaving one would be sent to for
    longer than its notice, and refuse.
    """

    async def hang(request, writer):
        await asyncio.sleep(30)

    targets = {"well": ScriptedTarget(answer_with()), "hung": ScriptedTarget(hang)}
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
