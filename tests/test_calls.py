"""Tests of non-idempotent calls with real processes that die, freeze and are cut."""

import asyncio
import signal

import pytest

from tarragonward_core import Conclusion, ResultCode
from tarragonward_standins.client import async_call, async_get_key_prefix
from tarragonward_standins.site import SitePlan
from tarragonward_wire import async_open_http, async_send_http

ONE_APP = SitePlan(
    failure_domains=("north", "south"),
    hosts_per_domain=1,
    engines_per_domain=1,
    services_per_domain=1,
    has_proxies=True,
)
NORTH, SOUTH = "entry-north-1", "entry-south-1"
UNHEALTHY = 503
OK, UNKNOWN = ResultCode.OK.number, ResultCode.OUTCOME_UNKNOWN.number


class Clerk:
    """Calls through any host under one key of the owner's."""

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
    return SitePlan(**{**vars(ONE_APP), **changes})


async def test_an_owner_killed_after_sending_leaves_the_outcome_unknown(make_site):
    """The owner dies after sending; the clerk's repeat must not book twice.

    Sent by north, north is killed before the answer, the repeat comes to south. South
    cannot know whether it ran, so it says OUTCOME_UNKNOWN at once; one run is counted.
    """
    site = await make_site(make_plan(service_delay_seconds=1.5))
    clerk = await Clerk.async_make(site)
    first = asyncio.create_task(clerk.async_call(SOUTH))
    await clerk.async_wait_for_run()
    await site.async_kill(NORTH)
    assert (await first).code == UNKNOWN
    repeat = await clerk.async_call(SOUTH)
    assert repeat.code == UNKNOWN
    await site.async_start(NORTH)
    await site.async_wait_healthy(NORTH)
    for name in (NORTH, SOUTH):
        assert (await clerk.async_call(name)).code == UNKNOWN
    assert await clerk.async_count_runs() == 1


async def test_an_owner_frozen_past_the_limit_sends_nothing_when_it_wakes(make_site):
    """The clerk's call waits at a frozen owner until its limit has passed.

    South forwards it over the open link and says "unknown" within the limit. Woken,
    the owner reads the copy; by its own clock the limit has passed, so it leaves a
    tombstone, and from then on says "not run", which is true for good.
    """
    site = await make_site(ONE_APP)
    clerk = await Clerk.async_make(site)
    warm = Clerk(site, clerk.key + "-warm")
    assert (await warm.async_call(SOUTH)).code == OK
    site.send_signal(NORTH, signal.SIGSTOP)
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await clerk.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    assert loop.time() - started < 1.5
    await asyncio.sleep(0.5)
    site.send_signal(NORTH, signal.SIGCONT)
    await asyncio.sleep(0.5)
    for name in (SOUTH, NORTH):
        repeat = await clerk.async_call(name)
        assert repeat.code == ResultCode.CALL_NOT_RUN.number
    assert await clerk.async_count_runs() == 0


async def test_domains_cut_while_repeats_arrive_on_both_sides(make_site):
    """Repeats of one booking arrive on both sides of a cut; it ran before the cut.

    North owns the key and gives the recorded answer to its side. South can't reach it
    and says "unknown"; it has a service of its own and must not run it there. A new
    call on each side runs. After the cut both sides give the same bytes.
    """
    site = await make_site(ONE_APP)
    clerk = await Clerk.async_make(site)
    first = await clerk.async_call(NORTH)
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = True
        site.proxies[f"peers-{name}"].abort_connections()
    for _ in range(3):
        assert (await clerk.async_call(NORTH)).body == first.body
        assert (await clerk.async_call(SOUTH, limit=2.0)).code == UNKNOWN
    for name in (NORTH, SOUTH):
        other = await Clerk.async_make(site, name)
        other.key += "-new"
        assert (await other.async_call(name)).code == OK
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = False
    await asyncio.sleep(2.5)
    healed = await clerk.async_call(SOUTH)
    assert (healed.code, healed.body) == (OK, first.body)
    assert await clerk.async_count_runs() == 1


@pytest.mark.parametrize("cut", ["blackhole_to_target", "blackhole_to_caller"])
async def test_a_one_way_cut_to_the_owner_ends_within_the_limit(make_site, cut):
    site = await make_site(ONE_APP)
    clerk = await Clerk.async_make(site)
    warm = Clerk(site, clerk.key + "-warm")
    assert (await warm.async_call(SOUTH)).code == OK
    setattr(site.proxies[f"peers-{NORTH}"].faults, cut, True)
    loop = asyncio.get_running_loop()
    started = loop.time()
    assert (await clerk.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    assert loop.time() - started < 1.5
    assert await clerk.async_count_runs() == (cut == "blackhole_to_caller")


async def test_an_answer_lost_on_the_way_back_is_asked_for_again(make_site):
    """The owner's answer is lost and its link drops; the clerk still gets the booking.

    South asks the owner again over a new link. The owner has the answer recorded and
    sends nothing a second time.
    """
    site = await make_site(make_plan(service_delay_seconds=0.5))
    clerk = await Clerk.async_make(site)
    first = asyncio.create_task(clerk.async_call(SOUTH))
    await clerk.async_wait_for_run()
    proxy = site.proxies[f"peers-{NORTH}"]
    proxy.faults.blackhole_to_caller = True
    await asyncio.sleep(0.8)
    proxy.faults.blackhole_to_caller = False
    proxy.abort_connections()
    result = await first
    assert (result.code, await clerk.async_count_runs()) == (OK, 1)


async def test_a_service_answer_that_is_lost_is_unknown_and_never_sent_again(make_site):
    site = await make_site(ONE_APP)
    clerk = await Clerk.async_make(site)
    for name in site.services:
        site.proxies[name].faults.close_after_bytes = 20
    for name in (NORTH, SOUTH, NORTH):
        assert (await clerk.async_call(name)).code == UNKNOWN
    assert await clerk.async_count_runs() == 1


async def test_a_caller_that_leaves_finds_the_answer_when_it_comes_back(make_site):
    """The clerk's phone loses its connection while the service works.

    The owner goes on waiting for the service and records its answer, so the repeat
    gets the booking's number rather than "unknown".
    """
    site = await make_site(make_plan(service_delay_seconds=0.8))
    clerk = await Clerk.async_make(site)
    headers = {"authorization": f"Bearer {clerk.token}", "x-call-key": clerk.key}
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
    repeat = await clerk.async_call(SOUTH)
    assert (repeat.code, await clerk.async_count_runs()) == (OK, 1)


async def test_a_repeat_in_flight_waits_up_to_its_own_limit(make_site):
    site = await make_site(make_plan(service_delay_seconds=1.5))
    clerk = await Clerk.async_make(site)
    first = asyncio.create_task(clerk.async_call(NORTH))
    await clerk.async_wait_for_run()
    short = await clerk.async_call(SOUTH, limit=0.5)
    assert short.code == ResultCode.IN_PROGRESS.number
    long = await clerk.async_call(SOUTH, limit=5.0)
    assert (long.code, long.body) == (OK, (await first).body)


async def async_get_health(site, name):
    """Ask a host's health as the balancer does."""
    operators = site.hosts[name].operators
    return (await async_send_http(operators, "GET", "/health", timeout=2.0)).status


async def test_a_draining_owner_answers_repeats_and_runs_nothing_new(make_site):
    """The owner is told to leave; the clerk repeats a booking that ran before.

    A host that is leaving must not say "not run" of it: it goes on answering repeats
    until it exits, and new calls under its keys are refused for good.
    """
    site = await make_site(make_plan(service_delay_seconds=2.5))
    clerk = await Clerk.async_make(site)
    first = asyncio.create_task(clerk.async_call(SOUTH))
    await clerk.async_wait_for_run()
    site.send_signal(NORTH, signal.SIGTERM)
    # New work is admitted until the balancer has read that the host leaves, and 0.5 s.
    while await async_get_health(site, NORTH) != UNHEALTHY:
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.9)
    late = Clerk(site, clerk.key + "-late")
    assert (await late.async_call(SOUTH)).code == ResultCode.CALL_NOT_RUN.number
    repeat = await clerk.async_call(SOUTH)
    assert (repeat.code, repeat.body) == (OK, (await first).body)
    for _ in range(20):
        result = await clerk.async_call(SOUTH, limit=1.0)
        code = ResultCode.from_number(result.code)
        assert code.conclusion is not Conclusion.NOT_RUN
        await asyncio.sleep(0.05)
    assert await clerk.async_count_runs() == 1
    assert await late.async_count_runs() == 0


async def test_another_body_under_a_key_is_refused_through_any_host(make_site):
    site = await make_site(ONE_APP)
    clerk = await Clerk.async_make(site)
    assert (await clerk.async_call(SOUTH)).code == OK
    other = await clerk.async_call(SOUTH, body=b"sprayer")
    assert other.code == ResultCode.KEY_REUSED.number
    assert await clerk.async_count_runs() == 1


async def test_calls_run_and_repeat_while_the_platform_is_down(make_site):
    """The platform is lost for the whole run, and a domain cut is added to it.

    Hosts go on by what they know: new calls run on each side, repeats get the same
    bytes from the owner, and the other side says "unknown" until the cut heals.
    """
    site = await make_site(ONE_APP)
    await site.async_kill("platform")
    await asyncio.sleep(1)
    clerk = await Clerk.async_make(site)
    first = await clerk.async_call(SOUTH)
    assert first.code == OK
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = True
        site.proxies[f"peers-{name}"].abort_connections()
    other = await Clerk.async_make(site, SOUTH)
    assert (await other.async_call(SOUTH)).code == OK
    assert (await clerk.async_call(SOUTH, limit=2.0)).code == UNKNOWN
    assert (await clerk.async_call(NORTH)).body == first.body
    for name in (NORTH, SOUTH):
        site.proxies[f"peers-{name}"].faults.refuse = False
    await asyncio.sleep(1)
    assert (await clerk.async_call(SOUTH)).body == first.body
    assert await clerk.async_count_runs() == 1


async def test_an_owner_frozen_and_then_cut_off_still_runs_a_call_once(
    make_site,
):
    """Two faults at once: the owner freezes with a call in flight, then a cut.

    The service ran the call; its answer waits at the frozen owner. South says
    "unknown" through both faults. Woken and healed, the owner records the answer that
    was waiting, and the repeat gets it.
    """
    site = await make_site(make_plan(service_delay_seconds=1.0))
    clerk = await Clerk.async_make(site)
    first = asyncio.create_task(clerk.async_call(SOUTH, limit=2.0))
    await clerk.async_wait_for_run()
    site.send_signal(NORTH, signal.SIGSTOP)
    proxy = site.proxies[f"peers-{NORTH}"]
    proxy.faults.refuse = True
    assert (await first).code == UNKNOWN
    proxy.abort_connections()
    assert (await clerk.async_call(SOUTH, limit=1.0)).code == UNKNOWN
    site.send_signal(NORTH, signal.SIGCONT)
    proxy.faults.refuse = False
    await asyncio.sleep(1)
    repeat = await clerk.async_call(SOUTH)
    assert (repeat.code, await clerk.async_count_runs()) == (OK, 1)
