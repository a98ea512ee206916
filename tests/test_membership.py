"""Tests of membership with hosts that are killed, restarted, frozen and partitioned."""

import asyncio
import signal

from tarragonward_standins.client import Outcome, async_complete
from tarragonward_standins.site import SitePlan

CONVERGENCE_TIMEOUT_SECONDS = 20.0
PARTITION_SECONDS = 10.0


async def async_get_states(site, name):
    status = await site.async_query_operators(name, "/v1/status")
    return {member["name"]: member["state"] for member in status["members"]}


async def async_wait_states(site, names, expected):
    """Wait until all these hosts report the expected states of other members."""
    async with asyncio.timeout(CONVERGENCE_TIMEOUT_SECONDS):
        while True:
            views = [await async_get_states(site, name) for name in names]
            if all(expected.items() <= states.items() for states in views):
                return
            await asyncio.sleep(0.1)


async def test_a_killed_host_is_dead_to_all_and_alive_after_its_restart(make_site):
    """A host is killed and restarted at its address; all others must detect both.

    Direct and indirect probes get no answer, and nobody refutes the suspicion. The next
    incarnation answers probes and is alive to all.
    """
    site = await make_site(SitePlan(hosts_per_domain=3))
    killed, *others = site.hosts
    await async_wait_states(site, others, {killed: "alive"})
    await site.async_kill(killed)
    await async_wait_states(site, others, {killed: "dead"})
    await site.async_start(killed)
    await async_wait_states(site, others, {killed: "alive"})


async def test_a_resumed_host_declares_no_member_dead(make_site):
    """A host is frozen for longer than the suspicion time-out, and resumed.

    The others declare it dead meanwhile. It resumes with overdue probes, must declare
    nobody dead because of them, and is alive to the others again.
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


async def test_a_host_that_only_sends_is_not_declared_dead(make_site):
    """One direction of a host's network fails: nothing sent to it arrives.

    Direct and indirect probes of the host are lost. Its own probes still arrive and
    show that it is alive, so nobody declares it dead and its streams are not swept.
    """
    site = await make_site(
        SitePlan(failure_domains=("north",), hosts_per_domain=3, has_proxies=True)
    )
    unreachable, *others = site.hosts
    await async_wait_states(site, others, {unreachable: "alive"})
    site.proxies[f"peers-{unreachable}"].faults.blackhole_to_target = True
    end = asyncio.get_running_loop().time() + PARTITION_SECONDS
    while asyncio.get_running_loop().time() < end:
        for name in others:
            assert (await async_get_states(site, name))[unreachable] != "dead"
        await asyncio.sleep(0.2)
    site.proxies[f"peers-{unreachable}"].faults.blackhole_to_target = False
    await async_wait_states(site, others, {unreachable: "alive"})


async def test_partitioned_domains_keep_serving_and_converge_after_the_partition(
    make_site,
):
    """All links between hosts of two domains are cut, with callers on each side.

    Each side declares the other dead and keeps serving its callers. After the
    partition, dead hosts on the host list are probed again, and all become alive to
    all.
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
