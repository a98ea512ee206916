"""Tests of membership with real processes: killed, returned, frozen."""

import asyncio
import signal

from tarragonward_standins.site import SitePlan

AGREE_SECONDS = 20.0


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
