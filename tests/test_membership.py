"""Tests of membership with real processes: killed, returned, frozen, cut off."""

import asyncio
import signal

from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan

AGREE_SECONDS = 20.0
CUT_SECONDS = 10.0


async def async_get_states(site, name):
    status = await site.async_ask_operators(name, "/v1/status")
    return {member["name"]: member["state"] for member in status["members"]}


async def async_wait_states(site, names, wanted):
    """Wait until all these hosts believe what is wanted of the others."""
    async with asyncio.timeout(AGREE_SECONDS):
        while True:
            seen = [await async_get_states(site, name) for name in names]
            if all(wanted.items() <= states.items() for states in seen):
                return
            await asyncio.sleep(0.1)


async def test_a_killed_host_is_dead_to_all_and_alive_again_when_it_returns(make_site):
    """A host dies and comes back under its address; all others must find out.

    Those of its domain stop to get answers, helpers do not reach it, suspicion is not
    refuted. The next life answers probes and is alive to all.
    """
    site = await make_site(SitePlan(hosts_per_domain=3))
    killed, *others = site.hosts
    await async_wait_states(site, others, {killed: "alive"})
    await site.async_kill(killed)
    await async_wait_states(site, others, {killed: "dead"})
    await site.async_start(killed)
    await async_wait_states(site, others, {killed: "alive"})


async def test_a_frozen_host_that_wakes_holds_nobody_for_dead(make_site):
    """A host is stopped for longer than a suspicion lasts, and goes on.

    The others hold it for dead meanwhile. It wakes with overdue probes, declares
    nobody dead, and is alive to the others again.
    """
    site = await make_site(SitePlan(hosts_per_domain=2))
    frozen, *others = site.hosts
    await async_wait_states(site, [frozen, *others], {})
    await async_wait_states(site, others, {frozen: "alive"})
    site.send_signal(frozen, signal.SIGSTOP)
    await async_wait_states(site, others, {frozen: "dead"})
    site.send_signal(frozen, signal.SIGCONT)
    states = await async_get_states(site, frozen)
    assert "dead" not in states.values()
    await async_wait_states(site, others, {frozen: "alive"})
    states = await async_get_states(site, frozen)
    assert "dead" not in states.values()


async def test_a_host_that_cannot_be_reached_lives_as_long_as_it_reaches_others(
    make_site,
):
    """One direction of a host's network fails: nothing that is sent to it arrives.

    The others' probes are swallowed, helpers' too. Its own probes still arrive and
    show that it lives, so its streams are not swept and nobody holds it for dead.
    """
    site = await make_site(
        SitePlan(failure_domains=("north",), hosts_per_domain=3, has_proxies=True)
    )
    unreached, *others = site.hosts
    await async_wait_states(site, others, {unreached: "alive"})
    site.proxies[f"peers-{unreached}"].faults.blackhole_to_target = True
    end = asyncio.get_running_loop().time() + CUT_SECONDS
    while asyncio.get_running_loop().time() < end:
        for name in others:
            assert (await async_get_states(site, name))[unreached] != "dead"
        await asyncio.sleep(0.2)
    site.proxies[f"peers-{unreached}"].faults.blackhole_to_target = False
    await async_wait_states(site, others, {unreached: "alive"})


async def test_domains_cut_from_each_other_serve_on_and_agree_again(make_site):
    """All links between hosts are cut, with callers on each side.

    Each side holds the other for dead and goes on to answer its callers. When the cut
    heals, dead hosts that are listed are probed again, and all are alive to all.
    """
    site = await make_site(SitePlan(hosts_per_domain=1, has_proxies=True))
    names = list(site.hosts)
    for one, other in (names, reversed(names)):
        await async_wait_states(site, [one], {other: "alive"})
    proxies = [site.proxies[f"peers-{name}"] for name in names]
    for proxy in proxies:
        proxy.faults.refuse = True
        proxy.abort_connections()
    for one, other in (names, reversed(names)):
        await async_wait_states(site, [one], {other: "dead"})
    token = site.tokens["camara"]
    for host in site.hosts.values():
        result = await async_complete(
            host.callers, token, site.plan.model, f"bay at {host.name}", 8, 10
        )
        assert result.outcome is Outcome.WHOLE, result
    for proxy in proxies:
        proxy.faults.refuse = False
    for one, other in (names, reversed(names)):
        await async_wait_states(site, [one], {other: "alive"})
