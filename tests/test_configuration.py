"""Tests of the configuration and of orders to engines with real processes."""

import asyncio
import signal

import pytest

from tarragonward_core import TargetError
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_send_http

IN_FORCE_SECONDS = 8.0
SMALL = SitePlan(hosts_per_domain=2, engines_per_domain=1)
WEIGHT = "/client_accounts/shelfwise/weight"


def set_weight(weight):
    return [{"op": "replace", "path": WEIGHT, "value": weight}]


def set_version(model, version):
    return [{"op": "add", "path": f"/models/{model}/version", "value": version}]


async def async_get_numbers(site, names=None):
    names = names or list(site.hosts)
    shown = [site.async_ask_operators(name, "/v1/configuration") for name in names]
    return [item["number"] for item in await asyncio.gather(*shown)]


async def async_wait_in_force(site, number, names=None):
    async with asyncio.timeout(IN_FORCE_SECONDS):
        while set(await async_get_numbers(site, names)) != {number}:
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
    async with asyncio.timeout(IN_FORCE_SECONDS + 4):
        while True:
            order = await async_get_order(site, engine)
            loaded = order.get("models", {}).get(model, {}).get("version")
            if (loaded, order.get("fencing")) == (version, number):
                return
            await asyncio.sleep(0.05)


async def test_of_two_patches_against_one_number_one_is_refused_everywhere(make_site):
    """Two operators read number 0 and publish; the second must not slip in.

    The log puts one first. Every host takes it as number 1 and refuses the other as
    stale, in its metrics, with the same document in force everywhere.
    """
    site = await make_site(SMALL)
    first, second = await asyncio.gather(
        site.async_publish(0, set_weight(5)), site.async_publish(0, set_weight(9))
    )
    assert {first, second} == {1, 2}
    await async_wait_in_force(site, 1)
    await asyncio.sleep(0.5)
    shown = [await site.async_ask_operators(n, "/v1/configuration") for n in site.hosts]
    assert (
        len(
            {
                item["document"]["client_accounts"]["shelfwise"]["weight"]
                for item in shown
            }
        )
        == 1
    )
    for name in site.hosts:
        assert 'configuration_verdicts_total{client_account="",label="stale"} 1.0' in (
            await async_get_metrics(site, name)
        )


async def test_a_patch_reaches_hosts_that_are_cut_from_the_platform(make_site):
    """The platform is cut for one domain's hosts; a revoked token must stop there too.

    The other domain's hosts read the patch and hand it on; the cut hosts have it in
    force within 8 seconds, with nothing but their peers in reach.
    """
    site = await make_site(SitePlan(engines_per_domain=1, has_proxies=True))
    south = [name for name in site.hosts if "south" in name]
    for name in south:
        site.proxies[f"platform-{name}"].faults.refuse = True
        site.proxies[f"platform-{name}"].abort_connections()
    await site.async_publish(0, set_weight(5))
    await async_wait_in_force(site, 1)


async def test_no_number_falls_when_the_platform_comes_back_older(make_site):
    """The platform dies, and comes back from a backup that lacks the last patches.

    Hosts that ran on keep number 2. A host replaced meanwhile reads number 0 from the
    platform, asks its peers before it admits work, and starts with 2 as well.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    await site.async_publish(1, set_weight(6))
    await async_wait_in_force(site, 2)
    await site.async_kill("platform")
    await asyncio.sleep(1)
    await site.async_start("platform")
    name = "entry-north-1"
    await site.async_kill(name)
    await site.async_start(name)
    await site.async_wait_healthy(name)
    assert set(await async_get_numbers(site)) == {2}


@pytest.mark.parametrize("faults", [{"configuration_down": True}, {"stale_at": 0}])
async def test_a_new_host_starts_with_what_its_peers_have(make_site, faults):
    """A host is replaced while the configuration service is down, or shows old data.

    Only its peers have number 1. It asks them before it admits work, so it never
    serves by the old number, and needs the host list alone from the platform.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    await async_wait_in_force(site, 1)
    await site.async_set_platform_faults(**faults)
    name = "entry-north-1"
    await site.async_kill(name)
    await site.async_start(name)
    await site.async_wait_healthy(name)
    assert await async_get_numbers(site, [name]) == [1]


async def test_hosts_all_replaced_beside_a_stale_platform_do_not_go_back(make_site):
    """All hosts are replaced while the platform shows a snapshot from before a patch.

    No host is left that knows number 1, but the engines were ordered under it. The
    new hosts see that their own number is below and admit no work until the
    platform shows the patch again; no caller meets the old configuration.
    """
    site = await make_site(SMALL)
    await site.async_publish(0, set_weight(5))
    for engine in site.engines:
        await async_wait_for_version(site, engine, "1", 1)
    for name in ["platform", *site.hosts]:
        await site.async_kill(name)
    for name in ["platform", *site.hosts]:
        await site.async_start(name)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(5):
            await site.async_wait_healthy("entry-north-1")
    await site.async_publish(0, set_weight(5))
    for name in site.hosts:
        await site.async_wait_healthy(name)
    assert set(await async_get_numbers(site)) == {1}


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_frozen_hosts_old_order_does_no_lasting_harm(make_site, checks_fencing):
    """A host is frozen, a new version is published, and the host wakes with old views.

    Its old order is refused by an engine that checks fencing. One that ignores it is
    ordered only after a fresh look, which shows the host that it is late. Either way
    every engine has the new version and keeps it.
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


async def test_an_old_order_that_an_engine_took_is_put_right(make_site):
    """An order held up on the wire reaches an engine that ignores fencing.

    Nothing can stop it there. The hosts that watch the engine see another state than
    they ordered, look at the service, and order again within seconds.
    """
    plan = SitePlan(engines_per_domain=1, engines_check_fencing=False)
    site = await make_site(plan)
    await site.async_publish(0, set_version(plan.model, "2"))
    await async_wait_for_version(site, "engine-north-1", "2", 1)
    body = b'{"fencing":0,"models":{"%b":{"version":"1"}}}' % plan.model.encode()
    address = site.engines["engine-north-1"]
    await async_send_http(address, "POST", "/v1/orders", body=body, timeout=5)
    await async_wait_for_version(site, "engine-north-1", "2", 1)


async def test_no_order_goes_to_an_engine_without_fencing_while_cut_off(make_site):
    """Without a fresh look nothing shows that a host's number is the newest."""
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
