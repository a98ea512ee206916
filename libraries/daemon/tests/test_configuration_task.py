"""Tests of one host that watches several replicas, in one process."""

import asyncio
import json
import math
from types import SimpleNamespace

import pytest

from tarragonward_config import LogEntry, Verdict
from tarragonward_core import Address, HostIdentity, Metrics
from tarragonward_daemon.configuration import ConfigurationTask
from tarragonward_standins import FaultProxy, PlatformStandIn
from tarragonward_wire import PeerLinks

ACTIVE_TIMEOUT_SECONDS = 8.0
DOCUMENT = {
    "client_accounts": {"shelfwise": {"token_sha256": ["0" * 64], "weight": 1}},
    "models": {},
    "services": {},
    "targets": {},
}
PATH = "/client_accounts/shelfwise/weight"


def set_weight(weight):
    return [{"op": "replace", "path": PATH, "value": weight}]


@pytest.fixture
async def make_host():
    started = []

    async def async_make(replicas=1, document=DOCUMENT, bytes_per_second=math.inf):
        platforms, links = [], []
        for _ in range(replicas):
            platform = PlatformStandIn(Address("127.0.0.1", 0), document, [])
            await platform.async_setup()
            link = FaultProxy(Address("127.0.0.1", 0), platform.address)
            link.faults.bytes_per_second = bytes_per_second
            await link.async_setup()
            platforms.append(platform)
            links.append(link)
            started.extend((platform, link))
        address = Address("127.0.0.1", 1)
        settings = SimpleNamespace(
            configuration=tuple(link.address for link in links),
            peers=address,
            failure_domain="north",
        )
        sections = {}
        host = SimpleNamespace(
            settings=settings,
            metrics=Metrics(),
            configuration_state=None,
            status_sections=sections,
            add_status_section=sections.__setitem__,
        )
        membership = SimpleNamespace(membership=SimpleNamespace(get_members=lambda: []))
        peers = PeerLinks(HostIdentity(address, 1), b"k" * 32)
        task = ConfigurationTask(host, peers, membership)
        await task.async_setup()
        started.append(task)
        return platforms, host, task

    yield async_make
    for part in reversed(started):
        await part.async_unload()


async def async_wait_until_active(host, number):
    async with asyncio.timeout(ACTIVE_TIMEOUT_SECONDS):
        while getattr(host.configuration_state, "number", -1) != number:
            await asyncio.sleep(0.02)


async def test_a_patch_is_active_in_time_if_two_of_three_replicas_are_stale(
    make_host,
):
    """Two of three replicas lag, and watching each delays the read of the third.

    The host has no peers. The patch must be active within 8 s, and the stale replicas
    must not revert it.
    """
    platforms, host, _ = await make_host(replicas=3)
    await async_wait_until_active(host, 0)
    await platforms[0].async_publish(0, set_weight(5))
    await async_wait_until_active(host, 1)
    await asyncio.sleep(6)
    assert host.configuration_state.number == 1
    assert host.metrics.get_count("configuration_stale_reads") > 0


async def test_a_large_configuration_is_read_over_a_slow_link(make_host):
    """The transfer of a new host's first configuration takes three seconds.

    With a timeout of two seconds for the whole transfer, each read would be aborted
    and the host would never admit work.
    """
    accounts = {
        f"account-{number}": {"token_sha256": [f"{number:064x}"], "weight": 1}
        for number in range(2_600)
    }
    document = {**DOCUMENT, "client_accounts": accounts}
    size = len(json.dumps(document))
    _, host, _ = await make_host(document=document, bytes_per_second=size / 3)
    await async_wait_until_active(host, 0)


async def test_a_forked_log_is_refused_and_not_read_in_a_busy_loop(make_host):
    """The platform is restored from a backup, and then publishes other patches.

    The host keeps its active state, counts the fork, and reads about twice a second:
    it must not read an unusable log as fast as the service answers.
    """
    platforms, host, task = await make_host()
    platform = platforms[0]
    await async_wait_until_active(host, 0)
    await platform.async_publish(0, set_weight(5))
    await async_wait_until_active(host, 1)
    platform.log[:] = [LogEntry(1, 0, tuple(set_weight(7)))]
    await platform.async_publish(1, set_weight(8))
    reads = platform.reads
    await asyncio.sleep(3)
    assert host.configuration_state.number == 1
    assert host.metrics.get_count("configuration_forks") > 0
    assert platform.reads - reads < 40
    assert not await task.async_verify_newest()


async def test_refused_patches_are_listed_with_reasons_in_the_status(make_host):
    platforms, host, task = await make_host()
    await async_wait_until_active(host, 0)
    await platforms[0].async_publish(0, set_weight(5))
    await platforms[0].async_publish(0, set_weight(6))
    await platforms[0].async_publish(1, set_weight(-1))
    async with asyncio.timeout(ACTIVE_TIMEOUT_SECONDS):
        while len(task.verdicts) < 3:
            await asyncio.sleep(0.02)
    shown = [(v.sequence, v.base, v.verdict) for v in task.verdicts]
    assert shown == [
        (1, 0, Verdict.ACCEPTED),
        (2, 0, Verdict.STALE),
        (3, 1, Verdict.INVALID),
    ]
    assert all(v.reason for v in task.verdicts[1:])
    *_, stale, invalid = host.status_sections["patches"]()
    assert (stale["sequence"], stale["base"], stale["verdict"]) == (2, 0, "stale")
    assert invalid["reason"]


async def test_verification_needs_a_replica_that_is_up_to_date(make_host):
    platforms, host, task = await make_host()
    await async_wait_until_active(host, 0)
    await platforms[0].async_publish(0, set_weight(5))
    await async_wait_until_active(host, 1)
    assert await task.async_verify_newest()
    platforms[0].stale_at = 0
    assert not await task.async_verify_newest()
    platforms[0].is_configuration_down = True
    assert not await task.async_verify_newest()
