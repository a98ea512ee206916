"""Tests of configuration updates and engine orders with real processes."""

import asyncio
import signal

import pytest

from tarragonward_core import TargetError
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

ACTIVE_TIMEOUT_SECONDS = 8.0
SMALL = SitePlan(hosts_per_domain=2, engines_per_domain=1)
WEIGHT_PATH = "/client_accounts/shelfwise/weight"


def set_weight(weight):
    return [{"op": "replace", "path": WEIGHT_PATH, "value": weight}]


def set_version(model, version):
    return [{"op": "add", "path": f"/models/{model}/version", "value": version}]


async def async_get_active_numbers(site, names=None):
    names = names or list(site.hosts)
    responses = [
        site.async_query_operators(name, "/v1/configuration") for name in names
    ]
    return [item["number"] for item in await asyncio.gather(*responses)]


async def async_wait_active(site, number, names=None):
    async with asyncio.timeout(ACTIVE_TIMEOUT_SECONDS):
        while set(await async_get_active_numbers(site, names)) != {number}:
            await asyncio.sleep(0.05)


async def async_get_metrics(site, name):
    address = site.hosts[name].operators
    answer = await async_send_http(address, "GET", "/metrics", timeout=5)
    return answer.body.decode()


async def async_get_order(site, engine):
    answer = await async_send_http(site.engines[engine], "GET", "/v1/load", timeout=5)
    return answer.parse_json()["orders"] or {}


async def async_wait_for_version(site, engine, version, number):
    model = site.plan.model
    async with asyncio.timeout(ACTIVE_TIMEOUT_SECONDS + 4):
        while True:
            order = await async_get_order(site, engine)
            loaded = order.get("models", {}).get(model, {}).get("version")
            if (loaded, order.get("fencing")) == (version, number):
                return
            await asyncio.sleep(0.05)


async def test_of_two_patches_with_the_same_base_every_host_refuses_one(make_site):
    """Two operators publish patches against number 0; only one may be applied.

    The log orders the two. Every host applies the first as number 1, refuses the other
    as stale and counts it in its metrics, and all have the same document active.
    """
    site = await make_site(SMALL)
    first, second = await asyncio.gather(
        site.async_publish(0, set_weight(5)), site.async_publish(0, set_weight(9))
    )
    assert {first, second} == {1, 2}
    await async_wait_active(site, 1)
    await asyncio.sleep(0.5)
    responses = [
        await site.async_query_operators(n, "/v1/configuration") for n in site.hosts
    ]
    assert (
        len(
            {
                item["document"]["client_accounts"]["shelfwise"]["weight"]
                for item in responses
            }
        )
        == 1
    )
    for name in site.hosts:
        assert 'configuration_verdicts_total{client_account="",label="stale"} 1.0' in (
            await async_get_metrics(site, name)
        )


async def test_a_patch_reaches_hosts_disconnected_from_the_platform(make_site):
    """One domain's hosts are cut off from the platform when a token is revoked.

    The hosts of the other domain read the patch and forward it to their peers, so that
    the disconnected hosts apply it within 8 seconds too.
    """
    site = await make_site(SitePlan(engines_per_domain=1, has_proxies=True))
    south = [name for name in site.hosts if "south" in name]
    for name in south:
        site.proxies[f"platform-{name}"].faults.refuse = True
        site.proxies[f"platform-{name}"].abort_connections()
    await site.async_publish(0, set_weight(5))
    await async_wait_active(site, 1)


async def test_hosts_do_not_roll_back_if_the_platform_restarts_from_a_backup(make_site):
    """The platform is restored from a backup that lacks the last patches.

    Running hosts keep number 2. A host replaced meanwhile reads number 0 from the
    platform, asks its peers before it admits work, and starts with number 2 as well.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    await site.async_publish(1, set_weight(6))
    await async_wait_active(site, 2)
    await site.async_kill("platform")
    await asyncio.sleep(1)
    await site.async_start("platform")
    name = "entry-north-1"
    await site.async_kill(name)
    await site.async_start(name)
    await site.async_wait_healthy(name)
    assert set(await async_get_active_numbers(site)) == {2}


@pytest.mark.parametrize("faults", [{"configuration_down": True}, {"stale_at": 0}])
async def test_a_new_host_starts_with_the_configuration_of_its_peers(make_site, faults):
    """A host is replaced while the configuration service is down or serves old data.

    Only its peers have number 1. It asks them before it admits work, so it never serves
    with the old number and needs only the host list from the platform.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    await async_wait_active(site, 1)
    await site.async_set_platform_faults(**faults)
    name = "entry-north-1"
    await site.async_kill(name)
    await site.async_start(name)
    await site.async_wait_healthy(name)
    assert await async_get_active_numbers(site, [name]) == [1]


async def test_hosts_all_replaced_while_the_platform_is_stale_do_not_roll_back(
    make_site,
):
    """All hosts are replaced while the platform serves a snapshot older than a patch.

    No host knows number 1 any more, but the engines have received orders with it. The
    new hosts find their own number below it and admit no work until the platform serves
    the patch again, so that no caller is served by the old configuration.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    for engine in site.engines:
        await async_wait_for_version(site, engine, "1", 1)
    for name in ["platform", *site.hosts]:
        await site.async_kill(name)
    for name in ["platform", *site.hosts]:
        await site.async_start(name)
    await site.async_wait_listening(site.platform)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(5):
            await site.async_wait_healthy("entry-north-1")
    await site.async_publish(0, set_weight(5))
    for name in site.hosts:
        await site.async_wait_healthy(name)
    assert set(await async_get_active_numbers(site)) == {1}


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_stale_order_of_a_resumed_host_is_refused_or_corrected(
    make_site, checks_fencing
):
    """A host is frozen, a new version is published, and the host is resumed.

    An engine that checks fencing refuses its stale order. To one that ignores fencing,
    the host sends an order only after it has read the configuration anew, which shows
    that its own is outdated. Either way every engine gets the new version and keeps it.
    """
    plan = SitePlan(engines_per_domain=2, engines_check_fencing=checks_fencing)
    site = await make_site(plan)
    for engine in site.engines:
        await async_wait_for_version(site, engine, "1", 0)
    site.send_signal("entry-north-1", signal.SIGSTOP)
    await site.async_publish(0, set_version(plan.model, "2"))
    await asyncio.sleep(1)
    for engine in site.engines:
        await async_wait_for_version(site, engine, "2", 1)
    site.send_signal("entry-north-1", signal.SIGCONT)
    await asyncio.sleep(3)
    for engine in site.engines:
        await async_wait_for_version(site, engine, "2", 1)


async def test_a_stale_order_applied_by_an_engine_is_corrected(make_site):
    """A delayed order reaches an engine that ignores fencing.

    Nothing can stop it there. The hosts that watch the engine see a state other than
    the one they ordered, read the configuration anew and send the order again within
    seconds.
    """
    plan = SitePlan(engines_per_domain=1, engines_check_fencing=False)
    site = await make_site(plan)
    await site.async_publish(0, set_version(plan.model, "2"))
    await async_wait_for_version(site, "engine-north-1", "2", 1)
    body = b'{"fencing":0,"models":{"%b":{"version":"1"}}}' % plan.model.encode()
    address = site.engines["engine-north-1"]
    await async_send_http(address, "POST", "/v1/orders", body=body, timeout=5)
    await async_wait_for_version(site, "engine-north-1", "2", 1)


async def test_engines_without_fencing_get_no_order_while_the_platform_is_down(
    make_site,
):
    """A host cannot know that its configuration is the newest without reading it."""
    plan = SitePlan(
        failure_domains=("north",),
        hosts_per_domain=1,
        engines_per_domain=1,
        engines_check_fencing=False,
        has_proxies=True,
    )
    site = await make_site(plan)
    await async_wait_for_version(site, "engine-north-1", "1", 0)
    await site.async_kill("platform")
    await site.async_kill("engine-north-1")
    await site.async_start("engine-north-1")
    await asyncio.sleep(6)
    try:
        assert await async_get_order(site, "engine-north-1") == {}
    except TargetError:
        pytest.fail("the engine is down")
    await site.async_start("platform")
    await async_wait_for_version(site, "engine-north-1", "1", 0)
