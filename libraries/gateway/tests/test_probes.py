"""Check which targets are left out after failures, and that they come back."""

import asyncio

import pytest

from tarragonward_core import Address, background
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths
from tarragonward_gateway import const as c
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.probes import TargetProber
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import Evidence, TargetHealthTracker
from tarragonward_placement import const as placement_const
from tarragonward_requests import SendFault
from tarragonward_standins import answer_with, async_reset, refuse_with

LOCAL = Address("127.0.0.1", 0)
CLOSED = Address("127.0.0.1", 9)


class Doubts:
    """The decisions and the task of one host, and its targets."""

    def __init__(self, addresses):
        settings = GatewaySettings(
            "h1", "a", LOCAL, LOCAL, LOCAL, LOCAL, (), LOCAL, Bounds()
        )
        state = GatewayState(settings, HeaderNames(), Paths())
        self.targets = [
            RegisteredTarget(f"t{number}", "s", address, domain, 8, True, number + 1)
            for number, (domain, address) in enumerate(addresses)
        ]
        for target in self.targets:
            state.registry.apply(target)
        self.target_health = TargetHealthTracker()
        self.probes = TargetProber(state, self.target_health)

    def select(self):
        return list(self.target_health.select(self.targets, read_clock()))


def test_unreached_target_is_left_out_and_the_others_stay():
    doubts = Doubts([("a", CLOSED), ("a", CLOSED), ("b", CLOSED)])
    doubts.probes.record_failure(doubts.targets[0], SendFault.NOT_CONNECTED)
    assert doubts.select() == doubts.targets[1:]


def test_two_unreached_targets_put_their_domain_in_doubt():
    """Callers wait for one connection after the other while a domain is cut off.

    Two targets of domain a are tried and cannot be reached; the third is left out
    without being tried, as a cut reaches all of a domain.
    """
    doubts = Doubts([("a", CLOSED)] * 3 + [("b", CLOSED)])
    doubts.probes.record_failure(doubts.targets[0], SendFault.NOT_CONNECTED)
    doubts.probes.record_failure(doubts.targets[1], SendFault.NOT_CONNECTED)
    assert doubts.select() == doubts.targets[3:]


def test_answer_between_two_failures_clears_the_domain():
    """Two targets that were taken away are no cut."""
    doubts = Doubts([("a", CLOSED)] * 4)
    doubts.probes.record_failure(doubts.targets[0], SendFault.NOT_CONNECTED)
    doubts.probes.record(doubts.targets[2], Evidence.ANSWERED)
    doubts.probes.record_failure(doubts.targets[1], SendFault.NOT_CONNECTED)
    assert doubts.select() == doubts.targets[2:]


def test_all_in_doubt_are_all_tried():
    doubts = Doubts([("a", CLOSED), ("b", CLOSED)])
    for target in doubts.targets:
        doubts.probes.record_failure(target, SendFault.NOT_CONNECTED)
    assert doubts.select() == doubts.targets


def test_refusal_that_promises_not_run_is_no_doubt():
    """A full target is well; a helper that its leader could not reach is not."""
    other = Address("127.0.0.1", 10)
    doubts = Doubts([("a", CLOSED), ("b", other)])
    doubts.probes.record_failure(doubts.targets[0], SendFault.NOT_RUN)
    assert doubts.select() == doubts.targets
    doubts.probes.record_reported_fault(doubts.targets, str(other))
    doubts.probes.record_reported_fault(doubts.targets, "unknown")
    assert doubts.select() == doubts.targets[:1]


async def test_target_comes_back_once_it_can_be_reached(monkeypatch):
    """No request is spent on trying: a connection without one is enough."""
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(placement_const, "EJECTION_BASE_SECONDS", 0.02)
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    doubts = Doubts([("a", Address("127.0.0.1", port)), ("b", CLOSED)])
    for target in doubts.targets:
        doubts.probes.record_failure(target, SendFault.NOT_CONNECTED)
    await doubts.probes.async_setup()
    try:
        async with asyncio.timeout(5):
            while doubts.select() != doubts.targets[:1]:
                await asyncio.sleep(0.01)
    finally:
        await doubts.probes.async_unload()
        server.close()
        await server.wait_closed()


async def test_a_fault_of_the_loop_keeps_no_target_out_for_good(monkeypatch):
    """A round of probes raises what nobody foresaw; the loop must go on.

    Ended, it would connect to nothing any more, and a target that is well again would
    stay out as long as others are there.
    """
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(background, "RESTART_SECONDS", 0.02)
    doubts = Doubts([("a", CLOSED)])
    rounds = []

    def fail(registered, now):
        rounds.append(now)
        raise LookupError("not foreseen")

    monkeypatch.setattr(doubts.target_health, "take_due_probes", fail)
    await doubts.probes.async_setup()
    async with asyncio.timeout(5):
        while len(rounds) < 3:
            await asyncio.sleep(0.01)
    await doubts.probes.async_unload()


async def test_dead_targets_that_are_probed_put_no_domain_in_doubt(monkeypatch):
    """Two of a domain's three targets are dead, and this host has little to send.

    Their probes fail each round with no answer between them. Counted like sends, they
    would leave the third one out, which is well, for as long as the two are registered.
    """
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(placement_const, "EJECTION_BASE_SECONDS", 0.01)
    doubts = Doubts([("a", CLOSED)] * 3)
    for target in doubts.targets[:2]:
        doubts.probes.record_failure(target, SendFault.NOT_CONNECTED)
        doubts.probes.record(doubts.targets[2], Evidence.ANSWERED)
    await doubts.probes.async_setup()
    try:
        await asyncio.sleep(0.3)
        assert doubts.select() == doubts.targets[2:]
    finally:
        await doubts.probes.async_unload()


async def test_a_helper_that_a_refusal_names_by_its_address_is_left_out(make_site):
    """A long prompt's leader can't reach a helper, and refuses: it has not run.

    The refusal names the helper by address. Looked up as an id it was found nowhere,
    so the next prompt had the same helper, waited for the same stall and was refused.
    The leader gets it once more without that helper, refuses again, and another one
    answers.
    """
    site = await make_site(answer_with(), answer_with(), answer_with())
    leader, helper, other = site.state.registry.get_ready("s")
    names = (f"X-Failed-Target: {helper.address}",)
    site.targets[0].script = refuse_with("503 Service Unavailable", names)
    help_leader(site, leader, [helper])
    assert (await site.async_ask()).status == 200
    assert [len(target.seen) for target in site.targets] == [2, 0, 1]
    ready = site.state.registry.get_ready("s")
    assert list(site.chooser.target_health.select(ready, read_clock())) == [
        leader,
        other,
    ]


async def test_a_prompt_whose_helpers_leave_returns_to_its_leader(make_site):
    """The registry is silent, and two engines leave: they help nobody any more.

    Each refusal comes by the leader and names one of them. Were each a send of its
    own, the two that the route allows would be used up, and the caller refused, while
    the leader is free to read the prompt.
    """
    site = await make_site(answer_with(), answer_with(), answer_with())
    leader, *helpers = site.state.registry.get_ready("s")
    refusals = [
        refuse_with("503 Service Unavailable", (f"X-Failed-Target: {each.address}",))
        for each in helpers
    ]
    scripts = [*refusals, answer_with()]

    async def async_answer(*arguments):
        await scripts.pop(0)(*arguments)

    site.targets[0].script = async_answer
    help_leader(site, leader, helpers)
    assert (await site.async_ask()).status == 200
    assert [len(target.seen) for target in site.targets] == [3, 0, 0]


def help_leader(site, leader, helpers):
    """Let a target have the helpers of these that are not in doubt."""
    choose = site.chooser.choose

    def choose_with_helpers(need):
        choice = choose(need)
        if choice is not None and choice.target is leader:
            awake = site.chooser.target_health.select((leader, *helpers), read_clock())
            choice.helpers = tuple(each for each in helpers if each in awake)
            choice.plan = Plan()
        return choice

    site.chooser.choose = choose_with_helpers


@pytest.mark.parametrize(
    "script",
    [answer_with(status="500 Failed"), answer_with(seal="X-None: 1"), async_reset],
)
async def test_a_target_that_fails_all_its_work_gets_little_of_it(make_site, script):
    """A target answers its checks, and fails each request the moment it comes.

    So it is the least busy one, and each request went there first: half of the sends
    were spent on it for as long as it was sick. After two in a row it rests.
    """
    site = await make_site(script, answer_with())
    for _ in range(6):
        assert (await site.async_ask()).status == 200
    assert [len(target.seen) for target in site.targets] == [2, 6]


class Plan:
    """Stand for the plan of a prompt that needs no reservation."""

    first_event_seconds = 0.1
    reserved_tokens = ()
