"""Tests of the exchange of suspect requests between hosts."""

import asyncio
import random
from contextlib import AsyncExitStack
from types import SimpleNamespace

import pytest

from tarragonward_core import Address, HostIdentity
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.probes import TargetProber
from tarragonward_gateway.suspect_gossip import SuspectGossip, choose_aggregators
from tarragonward_gateway.suspect_task import SuspectTask
from tarragonward_gateway.suspects import SuspectMonitor
from tarragonward_membership import KnownPeer
from tarragonward_placement import TargetHealthTracker
from tarragonward_requests import (
    PromptContext,
    SegmentTracker,
    SuspectTracker,
    Verdict,
)

FINGERPRINT = b"12345678"
SEGMENT = b"abcdefgh"


class Host:
    def __init__(self, state):
        self.state = state
        self.peers = Peers(self.state)
        self.watch = SuspectMonitor(
            self.state, TargetProber(self.state, TargetHealthTracker())
        )
        self.task = SuspectTask(self.state, self.peers, self.watch)
        self._stack = AsyncExitStack()

    async def async_setup(self):
        for part in (self.peers, self.task):
            await part.async_setup()
            self._stack.push_async_callback(part.async_unload)

    async def async_unload(self):
        await self._stack.aclose()

    @property
    def verdict(self):
        return self.watch.tracker.evaluate(FINGERPRINT, read_clock())

    @property
    def segment_verdict(self):
        prompt = PromptContext((SEGMENT,), 1, read_clock())
        return self.watch.segments.evaluate(prompt).verdict

    def crash_segment(self, target):
        now = read_clock()
        self.watch.segments.record_crash((SEGMENT,), 1, target, now, now)
        for notify in self.watch.on_segment_change:
            notify(SEGMENT)

    def crash(self, target):
        self.watch.tracker.record_crash(FINGERPRINT, 9, target, read_clock())
        for notify in self.watch.on_change:
            notify(FINGERPRINT)


@pytest.fixture
async def hosts(build_peer_state, wait_for):
    async with AsyncExitStack() as stack:
        made = [Host(build_peer_state(number)) for number in range(3)]
        for host in made:
            await host.async_setup()
            stack.push_async_callback(host.async_unload)
        await wait_for(lambda: all(len(h.peers.get_names()) == 2 for h in made))
        yield made


async def test_crashes_seen_by_different_hosts_are_added_up(hosts, wait_for):
    """Repeated at another host each time, a request crashes one target per host."""
    for target, host in enumerate(hosts):
        host.crash(target)
    await wait_for(lambda: {h.verdict for h in hosts} == {Verdict.REFUSED})


async def test_host_that_receives_nothing_is_isolated(hosts):
    """A host that has lost all others must delay a request after one crash already."""
    assert not any(host.watch.is_isolated() for host in hosts)
    members = hosts[1].peers.members
    members.remove_silent(read_clock() + 2 * members.peer_timeout_seconds)
    assert hosts[1].watch.is_isolated()


async def test_starting_host_learns_of_refused_suspects(
    hosts, wait_for, build_peer_state
):
    """A restarted host must not allow three more crashes."""
    for target in range(3):
        hosts[0].crash(target)
    await wait_for(lambda: {h.verdict for h in hosts} == {Verdict.REFUSED})
    await hosts[2].async_unload()
    new = Host(build_peer_state(2))
    # The port of the closed socket is released in the loop's next iteration.
    await asyncio.sleep(0)
    await new.async_setup()
    try:
        await wait_for(lambda: new.verdict is Verdict.REFUSED)
    finally:
        await new.async_unload()


def test_peer_that_joins_is_sent_what_is_refused_at_once():
    """By a few a round, a host that starts learns of a refused request too late."""
    tracker = SuspectTracker()
    for number in range(100):
        for target in range(3 if number % 2 else 2):
            tracker.record_crash(bytes([number]) * 8, number, target, 1.0)
    peers = build_peers(4)
    present = list(peers[1:3])
    members = SimpleNamespace(
        get_peers=lambda: present, own=peers[0].identity, failure_domain="d0"
    )
    gossip = SuspectGossip(tracker, members, random.Random(1), tells_joined=True)
    gossip.record_round(0.0)
    gossip.take_due(0.0)
    present.append(peers[3])
    gossip.record_round(0.5)
    messages = gossip.take_due(0.5)
    assert {message.hosts for message in messages} == {(peers[3].identity.address,)}
    told = [each for message in messages for each in message.fingerprints]
    assert sorted(told) == [bytes([number]) * 8 for number in range(1, 100, 2)]
    assert not gossip.take_due(1.0)


async def test_suspect_cleared_by_an_operator_is_cleared_at_all_hosts(hosts, wait_for):
    for target in range(3):
        hosts[0].crash(target)
    await wait_for(lambda: {h.verdict for h in hosts} == {Verdict.REFUSED})
    await asyncio.sleep(0.01)
    assert hosts[1].watch.clear(FINGERPRINT)
    await wait_for(lambda: {h.verdict for h in hosts} == {Verdict.CLEAR})


async def test_segment_crashes_seen_by_different_hosts_are_added_up(hosts, wait_for):
    """Unlike prompts with a segment come at another host each time."""
    for target, host in enumerate(hosts):
        host.crash_segment(target)
    await wait_for(lambda: {h.segment_verdict for h in hosts} == {Verdict.REFUSED})
    assert hosts[1].watch.clear(SEGMENT)
    await wait_for(lambda: {h.segment_verdict for h in hosts} == {Verdict.CLEAR})


async def test_hosts_have_different_delays_for_trials_of_a_segment(hosts):
    """Several hosts at once would each crash a target by a trial."""
    delays = {host.watch.get_trial_delay(SEGMENT) for host in hosts}
    assert len(delays) == 3
    assert min(delays) == 0.0


def build_peers(count):
    """Return hosts in five failure domains."""
    return tuple(
        KnownPeer(
            HostIdentity(Address(f"10.0.{number % 5}.{number}", 1), number),
            0.0,
            failure_domain=f"d{number % 5}",
        )
        for number in range(count)
    )


def count_recipients(tracker, peers, own):
    """Return to how many hosts a change of the segment is sent."""
    members = SimpleNamespace(
        get_peers=lambda: tuple(peer for peer in peers if peer is not own),
        own=own.identity,
        failure_domain=own.failure_domain,
    )
    gossip = SuspectGossip(tracker, members, random.Random(1))
    gossip.record_change(SEGMENT, 30.0)
    return sum(len(message.hosts) for message in gossip.take_due(31.0))


@pytest.mark.parametrize("is_common", [True, False])
def test_mass_crash_of_a_common_segment_is_spread_by_aggregators_only(is_common):
    """Each host of a large fleet has seen other crashes, and would tell all of them."""
    tracker = SegmentTracker()
    tracker.record_answered((SEGMENT,), 8.0, 9.0)
    for _ in range(4 * is_common):
        tracker.record_prompt((SEGMENT,))
    for target in range(4):
        tracker.record_crash((SEGMENT,), 1, target, 9.0 + target, 10.0 + target)
    peers = build_peers(60)
    aggregators = choose_aggregators(SEGMENT, peers)
    counts = [count_recipients(tracker, peers, peer) for peer in peers]
    assert counts.count(59) == (len(aggregators) if is_common else 60)
    assert max(set(counts) - {59}, default=0) <= len(aggregators)
    tracker.record_answered((SEGMENT,), 20.0, 21.0)
    counts = [count_recipients(tracker, peers, peer) for peer in peers]
    assert (59 in counts) != is_common


def test_aggregators_are_chosen_in_each_failure_domain():
    """Crashes must be counted on each side while failure domains are cut off."""
    peers = build_peers(200)
    aggregators = choose_aggregators(FINGERPRINT, peers)
    domains = [address.host.split(".")[2] for address in aggregators]
    assert sorted(domains) == sorted("0011223344")
    again = choose_aggregators(FINGERPRINT, tuple(reversed(peers)))
    assert set(aggregators) == set(again)
