"""Tests of non-idempotent calls under killed, frozen and partitioned processes."""

import asyncio
import signal

import pytest

from tarragonward_core import Conclusion, ResultCode
from tarragonward_standins.client import async_call, async_get_key_prefix
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_open_http, async_send_http

ONE_HOST_PER_DOMAIN = SitePlan(
    failure_domains=("north", "south"),
    hosts_per_domain=1,
    engines_per_domain=1,
    services_per_domain=1,
    has_proxies=True,
)
NORTH, SOUTH = "entry-north-1", "entry-south-1"
UNHEALTHY = 503
OK, UNKNOWN = ResultCode.OK.number, ResultCode.OUTCOME_UNKNOWN.number


class KeyedClient:
    """Sends calls through any host under one idempotency key of the owner host."""

    def __init__(self, site, key):
        self.site, self.key = site, key
        self.token = site.tokens["camara"]

    @classmethod
    async def async_make(cls, site, owner=NORTH):
        token = site.tokens["camara"]
        prefix = await async_get_key_prefix(site.hosts[owner].callers, token)
        return cls(site, f"{prefix}.booking-1")

    async def async_call(self, name, limit=5.0, body=b"combine"):
        address = self.site.hosts[name].callers
        return await async_call(address, self.token, "approve", body, self.key, limit)

    async def async_count_runs(self):
        total = 0
        for address in self.site.services.values():
            answer = await async_send_http(address, "GET", "/runs", timeout=5)
            total += answer.parse_json().get(self.key, 0)
        return total

    async def async_wait_for_run(self):
        async with asyncio.timeout(5):
            while not await self.async_count_runs():
                await asyncio.sleep(0.02)


def make_plan(**changes):
    return SitePlan(**{**vars(ONE_HOST_PER_DOMAIN), **changes})


async def test_an_owner_killed_after_sending_leaves_the_outcome_unknown(make_site):
    """The owner is killed after it sent the call; a repeat must not run it again.

    The south host cannot know whether the call ran, so it answers OUTCOME_UNKNOWN at
    once. The restarted owner does the same. The service counts one run.
    """
    site = await make_site(make_plan(service_delay_seconds=1.5))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(SOUTH))
    await client.async_wait_for_run()
    await site.async_kill(NORTH)
    assert (await first).code == UNKNOWN
    repeat = await client.async_call(SOUTH)
    assert repeat.code == UNKNOWN
    await site.async_start(NORTH)
    await site.async_wait_healthy(NORTH)
    for name in (NORTH, SOUTH):
        assert (await client.async_call(name)).code == UNKNOWN
    assert await client.async_count_runs() == 1


async def test_an_owner_frozen_past_the_time_limit_sends_nothing_when_resumed(
    make_site,
):
    """A forwarded call waits at a frozen owner until its time limit has passed.

    The south host forwards it over an open link and answers OUTCOME_UNKNOWN within the
    limit. The resumed owner reads the forwarded call, finds its deadline passed by its
    own clock and records a tombstone, so repeats are answered CALL_NOT_RUN from then
    on.
    """
    site = await make_site(ONE_HOST_PER_DOMAIN)
    client = await KeyedClient.async_make(site)
    warm_up = KeyedClient(site, client.key + "-warm")
    assert (await warm_up.async_call(SOUTH)).code == OK
    site.send_signal(NORTH, signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await client.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    assert loop.time() - started < 1.5
    await asyncio.sleep(0.5)
    site.send_signal(NORTH, signal.SIGCONT)
    await asyncio.sleep(0.5)
    for name in (SOUTH, NORTH):
        repeat = await client.async_call(name)
        assert repeat.code == ResultCode.CALL_NOT_RUN.number
    assert await client.async_count_runs() == 0


async def test_repeats_on_both_sides_of_a_partition_run_the_call_once(make_site):
    """Repeats of a call that has run arrive on both sides of a partition.

    The north host owns the key and returns the recorded answer. The south host cannot
    reach it, answers OUTCOME_UNKNOWN and must not run the call on its own service. New
    calls run on each side. After the partition heals, both sides return the same bytes.
    """
    site = await make_site(ONE_HOST_PER_DOMAIN)
    client = await KeyedClient.async_make(site)
    first = await client.async_call(NORTH)
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = True
        site.proxies[f"peers-{name}"].abort_connections()
    for _ in range(3):
        assert (await client.async_call(NORTH)).body == first.body
        assert (await client.async_call(SOUTH, limit=2.0)).code == UNKNOWN
    for name in (NORTH, SOUTH):
        other = await KeyedClient.async_make(site, name)
        other.key += "-new"
        assert (await other.async_call(name)).code == OK
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = False
    await asyncio.sleep(2.5)
    after_heal = await client.async_call(SOUTH)
    assert (after_heal.code, after_heal.body) == (OK, first.body)
    assert await client.async_count_runs() == 1


@pytest.mark.parametrize("fault", ["blackhole_to_target", "blackhole_to_caller"])
async def test_a_call_ends_within_its_limit_under_a_one_way_partition(make_site, fault):
    site = await make_site(ONE_HOST_PER_DOMAIN)
    client = await KeyedClient.async_make(site)
    warm_up = KeyedClient(site, client.key + "-warm")
    assert (await warm_up.async_call(SOUTH)).code == OK
    setattr(site.proxies[f"peers-{NORTH}"].faults, fault, True)
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await client.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    assert loop.time() - started < 1.5
    assert await client.async_count_runs() == (fault == "blackhole_to_caller")


async def test_an_answer_lost_on_the_peer_link_is_requested_again(make_site):
    """The owner's answer is lost and its link closes; the caller still gets the answer.

    The south host asks the owner again over a new link. The owner has recorded the
    answer and does not send the call a second time.
    """
    site = await make_site(make_plan(service_delay_seconds=0.5))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(SOUTH))
    await client.async_wait_for_run()
    proxy = site.proxies[f"peers-{NORTH}"]
    proxy.faults.blackhole_to_caller = True
    await asyncio.sleep(0.8)
    proxy.faults.blackhole_to_caller = False
    proxy.abort_connections()
    result = await first
    assert (result.code, await client.async_count_runs()) == (OK, 1)


async def test_a_call_whose_service_answer_is_lost_is_unknown_and_not_resent(make_site):
    site = await make_site(ONE_HOST_PER_DOMAIN)
    client = await KeyedClient.async_make(site)
    for name in site.services:
        site.proxies[name].faults.close_after_bytes = 20
    for name in (NORTH, SOUTH, NORTH):
        assert (await client.async_call(name)).code == UNKNOWN
    assert await client.async_count_runs() == 1


async def test_a_caller_that_disconnects_gets_the_answer_on_repeat(make_site):
    """A caller loses its connection while the service works.

    The owner keeps waiting for the service and records its answer, so the repeat gets
    the answer and not OUTCOME_UNKNOWN.
    """
    site = await make_site(make_plan(service_delay_seconds=0.8))
    client = await KeyedClient.async_make(site)
    headers = {"authorization": f"Bearer {client.token}", "x-call-key": client.key}
    with pytest.raises(TimeoutError):
        async with (
            asyncio.timeout(0.4),
            async_open_http(
                site.hosts[NORTH].callers,
                "POST",
                "/v1/services/approvals/approve",
                headers=headers,
                body=b"combine",
            ),
        ):
            pytest.fail("answered too early")
    repeat = await client.async_call(SOUTH)
    assert (repeat.code, await client.async_count_runs()) == (OK, 1)


async def test_a_repeat_in_flight_waits_up_to_its_own_limit(make_site):
    site = await make_site(make_plan(service_delay_seconds=1.5))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(NORTH))
    await client.async_wait_for_run()
    short = await client.async_call(SOUTH, limit=0.5)
    assert short.code == ResultCode.IN_PROGRESS.number
    long = await client.async_call(SOUTH, limit=5.0)
    assert (long.code, long.body) == (OK, (await first).body)


async def test_a_repeat_in_flight_is_told_so_though_its_owner_pauses(make_site):
    """The owner answers late: what it has confirmed before must not be withheld."""
    site = await make_site(make_plan(service_delay_seconds=2.5))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(NORTH))
    await client.async_wait_for_run()
    repeat = asyncio.create_task(client.async_call(SOUTH, limit=1.0))
    await asyncio.sleep(0.4)
    site.send_signal(NORTH, signal.SIGSTOP)
    short = await repeat
    site.send_signal(NORTH, signal.SIGCONT)
    assert short.code == ResultCode.IN_PROGRESS.number
    long = await client.async_call(SOUTH)
    assert (long.code, long.body) == (OK, (await first).body)


async def async_get_health(site, name):
    """Return the status of a host's health check, as the load balancer reads it."""
    operators = site.hosts[name].operators
    return (await async_send_http(operators, "GET", "/health", timeout=2.0)).status


async def test_a_draining_owner_answers_repeats_and_refuses_new_calls(make_site):
    """A call is repeated while its owner drains.

    The owner must not answer "not run" to a call that has run: it answers repeats until
    it exits. New calls under its keys are refused with CALL_NOT_RUN.
    """
    site = await make_site(make_plan(service_delay_seconds=2.5))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(SOUTH))
    await client.async_wait_for_run()
    site.send_signal(NORTH, signal.SIGTERM)
    # New calls are admitted until 0.5 s after the balancer has read the failed check.
    while await async_get_health(site, NORTH) != UNHEALTHY:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.9)
    late = KeyedClient(site, client.key + "-late")
    assert (await late.async_call(SOUTH)).code == ResultCode.CALL_NOT_RUN.number
    repeat = await client.async_call(SOUTH)
    assert (repeat.code, repeat.body) == (OK, (await first).body)
    for _ in range(20):
        result = await client.async_call(SOUTH, limit=1.0)
        code = ResultCode.from_number(result.code)
        assert code.conclusion is not Conclusion.NOT_RUN
        await asyncio.sleep(0.05)
    assert await client.async_count_runs() == 1
    assert await late.async_count_runs() == 0


async def test_another_body_under_a_key_is_refused_through_any_host(make_site):
    site = await make_site(ONE_HOST_PER_DOMAIN)
    client = await KeyedClient.async_make(site)
    assert (await client.async_call(SOUTH)).code == OK
    other = await client.async_call(SOUTH, body=b"sprayer")
    assert other.code == ResultCode.KEY_REUSED.number
    assert await client.async_count_runs() == 1


async def test_calls_run_and_repeat_while_the_platform_is_down(make_site):
    """The platform is down throughout, and the domains are partitioned as well.

    Hosts continue with the configuration they have: new calls run on each side, the
    owner repeats its answers byte for byte, and the other side answers OUTCOME_UNKNOWN
    until the partition heals.
    """
    site = await make_site(ONE_HOST_PER_DOMAIN)
    await site.async_kill("platform")
    await asyncio.sleep(1)
    client = await KeyedClient.async_make(site)
    first = await client.async_call(SOUTH)
    assert first.code == OK
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = True
        site.proxies[f"peers-{name}"].abort_connections()
    other = await KeyedClient.async_make(site, SOUTH)
    assert (await other.async_call(SOUTH)).code == OK
    assert (await client.async_call(SOUTH, limit=2.0)).code == UNKNOWN
    assert (await client.async_call(NORTH)).body == first.body
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = False
    await asyncio.sleep(1)
    assert (await client.async_call(SOUTH)).body == first.body
    assert await client.async_count_runs() == 1


async def test_a_call_runs_once_if_its_owner_is_frozen_and_partitioned(
    make_site,
):
    """The owner is frozen with a call in flight and is then cut off from its peer.

    The service ran the call, and its answer waits unread at the owner. The south host
    answers OUTCOME_UNKNOWN during both faults. The resumed owner records the answer,
    and the repeat returns it.
    """
    site = await make_site(make_plan(service_delay_seconds=1.0))
    client = await KeyedClient.async_make(site)
    first = asyncio.create_task(client.async_call(SOUTH, limit=2.0))
    await client.async_wait_for_run()
    site.send_signal(NORTH, signal.SIGSTOP)
    proxy = site.proxies[f"peers-{NORTH}"]
    proxy.faults.refuse = True
    assert (await first).code == UNKNOWN
    proxy.abort_connections()
    assert (await client.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    site.send_signal(NORTH, signal.SIGCONT)
    proxy.faults.refuse = False
    await asyncio.sleep(1)
    repeat = await client.async_call(SOUTH)
    assert (repeat.code, await client.async_count_runs()) == (OK, 1)
