"""Tests of ejecting targets after failures and of restoring them by probes."""

import asyncio

import pytest

from tarragonward_core import Address, background
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths, reachability
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


class ProberFixture:
    """The health tracker and the prober of one host, with its targets."""

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


def test_unreachable_target_alone_is_ejected():
    host = ProberFixture([("a", CLOSED), ("a", CLOSED), ("b", CLOSED)])
    host.probes.record_failure(host.targets[0], SendFault.NOT_CONNECTED)
    assert host.select() == host.targets[1:]


def test_two_unreachable_targets_eject_their_domain():
    """While a domain is cut off, callers must not wait for each of its targets.

    Two targets of domain a cannot be reached, so the third is skipped without an
    attempt, as a network partition affects the whole domain.
    """
    host = ProberFixture([("a", CLOSED)] * 3 + [("b", CLOSED)])
    host.probes.record_failure(host.targets[0], SendFault.NOT_CONNECTED)
    host.probes.record_failure(host.targets[1], SendFault.NOT_CONNECTED)
    assert host.select() == host.targets[3:]


def test_answer_between_two_failures_clears_the_domain():
    """Two removed targets must not be taken for a partition of their domain."""
    host = ProberFixture([("a", CLOSED)] * 4)
    host.probes.record_failure(host.targets[0], SendFault.NOT_CONNECTED)
    host.probes.record(host.targets[2], Evidence.ANSWERED)
    host.probes.record_failure(host.targets[1], SendFault.NOT_CONNECTED)
    assert host.select() == host.targets[2:]


def test_all_targets_are_tried_if_all_are_ejected():
    host = ProberFixture([("a", CLOSED), ("b", CLOSED)])
    for target in host.targets:
        host.probes.record_failure(target, SendFault.NOT_CONNECTED)
    assert host.select() == host.targets


def test_refusal_that_promises_not_run_ejects_nothing():
    """A full target is healthy; a helper that its leader could not reach is not."""
    other = Address("127.0.0.1", 10)
    host = ProberFixture([("a", CLOSED), ("b", other)])
    host.probes.record_failure(host.targets[0], SendFault.NOT_RUN)
    assert host.select() == host.targets
    host.probes.record_reported_fault(host.targets, str(other))
    host.probes.record_reported_fault(host.targets, "unknown")
    assert host.select() == host.targets[:1]


async def test_target_is_restored_once_it_can_be_reached(monkeypatch):
    """A probe is a connection without a request, so no request is put at risk."""
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(placement_const, "EJECTION_BASE_SECONDS", 0.02)
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    host = ProberFixture([("a", Address("127.0.0.1", port)), ("b", CLOSED)])
    for target in host.targets:
        host.probes.record_failure(target, SendFault.NOT_CONNECTED)
    await host.probes.async_setup()
    try:
        async with asyncio.timeout(5):
            while host.select() != host.targets[:1]:
                await asyncio.sleep(0.01)
    finally:
        await host.probes.async_unload()
        server.close()
        await server.wait_closed()


async def test_probing_continues_after_an_unexpected_error(monkeypatch):
    """An unexpected error in a round of probes must not end the loop.

    Without probes a recovered target would stay ejected as long as others are left.
    """
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(background, "RESTART_DELAY_SECONDS", 0.02)
    host = ProberFixture([("a", CLOSED)])
    rounds = []

    def fail(registered, now):
        rounds.append(now)
        raise LookupError("not foreseen")

    monkeypatch.setattr(host.target_health, "take_due_probes", fail)
    await host.probes.async_setup()
    async with asyncio.timeout(5):
        while len(rounds) < 3:
            await asyncio.sleep(0.01)
    await host.probes.async_unload()


async def test_failed_probes_do_not_eject_the_domain(monkeypatch):
    """Failed probes of two dead targets must not eject their whole domain.

    A host with little traffic sees no answer between these probes. If they counted
    like sends, the healthy third target would stay ejected while the two dead ones
    are registered.
    """
    monkeypatch.setattr(c, "TARGET_PROBE_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(placement_const, "EJECTION_BASE_SECONDS", 0.01)
    host = ProberFixture([("a", CLOSED)] * 3)
    for target in host.targets[:2]:
        host.probes.record_failure(target, SendFault.NOT_CONNECTED)
        host.probes.record(host.targets[2], Evidence.ANSWERED)
    await host.probes.async_setup()
    try:
        await asyncio.sleep(0.3)
        assert host.select() == host.targets[2:]
    finally:
        await host.probes.async_unload()


async def test_helper_reported_by_its_address_is_ejected(make_site):
    """A helper reported by its address must be ejected like one reported by its id.

    The address was looked up as an id and not found, so the next prompt used the same
    helper, stalled and was refused again. Here the leader receives the prompt once
    more without that helper, refuses again, and another target answers.
    """
    site = await make_site(answer_with(), answer_with(), answer_with())
    leader, helper, other = site.state.registry.get_ready("s")
    names = (f"X-Failed-Target: {helper.address}",)
    site.targets[0].script = refuse_with("503 Service Unavailable", names)
    help_leader(site, leader, [helper])
    assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [2, 0, 1]
    ready = site.state.registry.get_ready("s")
    assert list(site.chooser.target_health.select(ready, read_clock())) == [
        leader,
        other,
    ]


async def test_refusals_on_behalf_of_helpers_use_no_sends(make_site):
    """Refusals on behalf of helpers must not use up the sends that a route allows.

    Two helpers have left while the registry is silent, and the leader's refusals
    report one at a time. If each counted as a send, the caller would be refused while
    the leader is free to process the prompt.
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
    assert [len(target.requests) for target in site.targets] == [3, 0, 0]


def help_leader(site, leader, helpers):
    """Give a target those of the helpers that are not ejected."""
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
async def test_target_that_fails_every_request_is_ejected(make_site, script):
    """A target that fails every request at once must be ejected after two in a row.

    It passes its health checks and is always the least busy one, so every request was
    sent there first and half of all sends failed.
    """
    site = await make_site(script, answer_with())
    for _ in range(6):
        assert (await site.async_ask()).status == 200
    assert [len(target.requests) for target in site.targets] == [2, 6]


class Plan:
    """A fake plan of a prompt that needs no reservation."""

    first_event_seconds = 0.1
    reserved_tokens = ()


def test_host_reports_a_service_whose_targets_it_cannot_connect_to(monkeypatch):
    """A host's lost links must show in its log apart from targets that have failed."""
    host = ProberFixture([("a", CLOSED), ("b", Address("127.0.0.1", 10))])
    logged = []
    monkeypatch.setattr(
        reachability, "log_event", lambda event, **fields: logged.append(event)
    )
    host.probes.record_failure(host.targets[0], SendFault.NOT_CONNECTED)
    assert logged == []
    host.probes.record_failure(host.targets[1], SendFault.NOT_CONNECTED)
    assert host.probes.reachability.unreachable_count == 1
    host.probes.record(host.targets[0], Evidence.CONNECTED)
    assert logged == ["service_unreachable", "service_reachable"]
    for _ in range(3):
        host.probes.record(host.targets[0], Evidence.FAILED)
    assert host.probes.reachability.count_disconnected("s") == 1
    assert host.probes.reachability.unreachable_count == 0
