"""Tests of two hosts, one of which has lost its links to the targets."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from tarragonward_core import Address
from tarragonward_gateway import probes
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.relays import RelayTask
from tarragonward_membership import build_boot_id
from tarragonward_placement import Evidence
from tarragonward_requests import SendFault
from tarragonward_routes import RequestKind
from tarragonward_standins import answer_with, async_reset, refuse_with, stream_events

CLOSED_PORTS = range(2, 9)


class Pair:
    """A host that can't connect to its targets, and a peer that can."""

    def __init__(self, cut, peer, monkeypatch):
        self.cut, self.peer = cut, peer
        self._monkeypatch = monkeypatch
        self.cut_relays = RelayTask(cut.state, cut.chooser)
        self.peer_relays = RelayTask(peer.state, peer.chooser)
        self.peer_relays.get_hosts = lambda: ("127.0.0.1",)
        self.cut_relays.get_peers = lambda: (self.peer_relays._server.address,)

    def lose_links(self):
        self._monkeypatch.setattr(probes, "_async_connect", async_connect_in_vain)
        for target in self.cut.state.registry.get_all():
            self.cut.chooser.probes.record_failure(target, SendFault.NOT_CONNECTED)


@pytest.fixture
async def make_pair(make_site, make_engines, monkeypatch):
    pairs = []

    async def async_make(*scripts, has_engines=False, has_links=False, **route):
        make = make_engines if has_engines else make_site
        cut = await make(*scripts, **route)
        peer = await make(**route)
        for target in cut.state.registry.get_all():
            peer.state.registry.apply(target)
        pair = Pair(cut, peer, monkeypatch)
        pairs.append(pair)
        await pair.peer_relays.async_setup()
        if not has_links:
            pair.lose_links()
        return pair

    yield async_make
    for pair in pairs:
        await pair.peer_relays.async_unload()
        await pair.cut_relays.async_unload()


async def test_host_without_links_sends_through_a_peer(make_pair):
    pair = await make_pair(answer_with(), answer_with())
    assert (await pair.cut.async_ask()).status == 200
    assert pair.cut.state.metrics.get_count("relayed_connects") >= 1
    # What a peer can connect to says nothing of this host's own links.
    target = pair.cut.state.registry.get_all()[0]
    assert pair.cut.chooser.target_health.is_disconnected(target)


async def test_host_without_links_reaches_targets_that_state_their_boot(make_pair):
    """A peer is asked for a boot by its id, which is not the target's name."""
    pair = await make_pair(answer_with(), has_links=True)
    (target,) = pair.cut.state.registry.get_all()
    boot_id = build_boot_id(target.name, 1_754_000_000_000)
    boot = replace(target, id=boot_id, incarnation=1_754_000_000_000, revision=9)
    for site in (pair.cut, pair.peer):
        site.state.registry.apply(boot)
    pair.lose_links()
    assert (await pair.cut.async_ask()).status == 200
    assert pair.cut.state.metrics.get_count("relayed_connects") >= 1


async def test_non_idempotent_request_runs_once_through_a_peer(make_pair):
    """The target resets after it got the request; the peer must not send it again."""
    pair = await make_pair(async_reset, answer_with(), kind=RequestKind.NON_IDEMPOTENT)
    answer = await pair.cut.async_ask("POST")
    assert answer.status == 502
    assert pair.cut.runs == 1


async def test_request_is_refused_at_once_if_the_peer_has_no_links_either(make_pair):
    """All hosts have lost their links: nobody asks on, and nothing is held."""
    pair = await make_pair(answer_with(), answer_with())
    for target in pair.peer.state.registry.get_all():
        pair.peer.chooser.probes.record_failure(target, SendFault.NOT_CONNECTED)
    for target in pair.cut.targets:
        await target.async_unload()
    async with asyncio.timeout(1.0):
        answer = await pair.cut.async_ask()
    assert answer.status == 503
    assert answer.get("retry-after")
    assert 1 <= pair.peer.state.metrics.get_count("relayed_for_others") <= 3


async def test_peer_does_not_connect_strangers(make_pair):
    """A process that is no known host must not reach targets through the peer."""
    pair = await make_pair(answer_with())
    pair.peer_relays.get_hosts = lambda: ("10.9.9.9",)
    target = pair.cut.state.registry.get_all()[0]
    assert await pair.cut_relays.async_check(target) is None


async def test_peer_does_not_connect_to_a_target_that_asked_it_for_rest(make_pair):
    """The peer was asked for rest; what it passes on counts as its own requests."""
    pair = await make_pair(answer_with())
    target = pair.peer.state.registry.get_all()[0]
    pair.peer.chooser.cooldowns.begin(target.id, 5.0, asyncio.get_running_loop().time())
    assert await pair.cut_relays.async_check(target) is None
    assert not pair.cut.runs


async def test_draining_peer_takes_no_new_connections(make_pair):
    pair = await make_pair(answer_with())
    pair.peer.state.is_draining = True
    target = pair.peer.state.registry.get_all()[0]
    assert await pair.cut_relays.async_check(target) is None


async def test_target_that_is_dead_for_the_peer_too_is_left_alone(make_pair):
    """Through a peer a dead target is found as well, and others serve."""
    pair = await make_pair(answer_with(), answer_with())
    await pair.cut.targets[0].async_unload()
    for _ in range(3):
        assert (await pair.cut.async_ask()).status == 200
    assert len(pair.cut.targets[1].requests) == 3


async def test_lost_link_is_no_crash_of_its_target(make_pair):
    """A reset by the network must not make a suspect of the request it hit."""
    pair = await make_pair(answer_with())
    target = pair.peer.state.registry.get_all()[0]
    ended = Address("127.0.0.1", CLOSED_PORTS[0])
    pair.cut.state.registry.apply(
        type(target)(target.id, "s", ended, "d1", 8, True, target.revision + 1)
    )
    lost = pair.cut.state.registry.get(target.id)
    assert not await pair.cut.chooser.probes.async_has_ended(lost)
    await pair.cut.targets[0].async_unload()
    assert await pair.cut.chooser.probes.async_has_ended(lost)


async def test_stream_through_a_peer_arrives_whole(make_pair):
    pair = await make_pair(
        stream_events(range(1, 30)),
        stream_events(range(1, 30)),
        kind=RequestKind.STREAM,
    )
    answer = await pair.cut.async_ask("POST")
    assert answer.status == 200
    assert answer.body.count(b"id:") == 29


async def test_refusals_through_a_peer_end_no_health(make_pair):
    pair = await make_pair(refuse_with(), answer_with())
    assert (await pair.cut.async_ask()).status == 200
    target = pair.cut.state.registry.get("t0")
    assert not pair.cut.chooser.paths._relayed.is_ejected(target)


async def test_direct_connections_are_used_again_once_one_succeeds(make_pair):
    pair = await make_pair(answer_with())
    assert (await pair.cut.async_ask()).status == 200
    relayed = pair.cut.state.metrics.get_count("relayed_connects")
    target = pair.cut.state.registry.get_all()[0]
    pair.cut.chooser.probes.record(target, Evidence.CONNECTED)
    assert (await pair.cut.async_ask()).status == 200
    assert pair.cut.state.metrics.get_count("relayed_connects") == relayed


class Gate:
    """A script that falls silent after the first events until it is opened."""

    def __init__(self, before, after):
        self._before, self._after = before, after
        self.is_open = False

    async def __call__(self, request, writer):
        if self.is_open:
            await stream_events(self._after)(request, writer)
            return
        if self._before:
            await stream_events(self._before, is_ended=False)(request, writer)
            await writer.drain()
        with suppress(asyncio.CancelledError):
            await asyncio.Event().wait()


async def async_wait_for_runs(site, runs):
    async with asyncio.timeout(5):
        while site.runs < runs:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("before", [range(0), range(1, 4)])
async def test_prompt_on_a_lost_link_goes_on_through_a_peer(make_pair, before):
    """A silent cut leaves a prompt's connection open; its caller must not wait on."""
    gate = Gate(before, range(1 + len(before), 7))
    # An overdue prompt moves once before it is found that the link is lost.
    gates = (gate, gate, gate)
    pair = await make_pair(*gates, has_engines=True, has_links=True, attempts=3)
    asking = asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
    await async_wait_for_runs(pair.cut, 1)
    await asyncio.sleep(0.1)
    gate.is_open = True
    pair.lose_links()
    async with asyncio.timeout(1.5):
        answer = await asking
    assert answer.status == 200
    assert answer.body.count(b"id:") == 6


async def test_prompts_on_a_lost_link_share_what_is_left_of_the_retry_budget(make_pair):
    """Prompts that leave at one moment must not all count on the last retry."""
    prompts = 4
    gate = Gate(range(0), range(1, 4))
    pair = await make_pair(gate, gate, has_engines=True, has_links=True)
    asking = [
        asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
        for _ in range(prompts)
    ]
    await async_wait_for_runs(pair.cut, prompts)
    left = [1]
    pair.cut.state.can_retry = lambda service, is_urgent: left[0] > 0
    pair.cut.state.record_retry = lambda service: left.append(left.pop() - 1) or 1.0
    gate.is_open = True
    pair.lose_links()
    done, waiting = await asyncio.wait(asking, timeout=1.5)
    assert [task.result().status for task in done] == [200]
    assert len(waiting) == prompts - 1
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


async def test_prompt_leaves_a_peer_that_stopped_answering(make_pair):
    """The relaying peer freezes; its open connections look alive for seconds."""
    gate = Gate(range(1, 4), range(4, 7))
    gates = (gate, gate, gate)
    pair = await make_pair(*gates, has_engines=True, attempts=3)
    asking = asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
    await async_wait_for_runs(pair.cut, 1)
    await asyncio.sleep(0.1)
    frozen = pair.peer_relays._server.address
    third = RelayTask(pair.peer.state, pair.peer.chooser)
    third.get_hosts = pair.peer_relays.get_hosts
    await third.async_setup()
    pair.cut_relays.get_peers = lambda: (frozen, third._server.address)
    gate.is_open = True
    pair.cut_relays._directory.record_lost(frozen, read_clock())
    pair.cut.chooser.paths.notify_relay_lost(frozen)
    target = pair.cut.state.registry.get_all()[0]
    assert await pair.cut_relays.async_check(target)
    async with asyncio.timeout(1.5):
        answer = await asking
    assert answer.body.count(b"id:") == 6
    await third.async_unload()


async def test_stalled_stream_has_its_link_checked(make_pair, monkeypatch):
    """A host with one stream has no other request that shows its link to be lost."""
    gate = Gate(range(1, 4), range(4, 7))
    options = {"has_engines": True, "has_links": True, "pause_aim_seconds": 0.2}
    pair = await make_pair(gate, gate, gate, **options)
    await pair.cut.chooser.probes.async_setup()
    asking = asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
    await async_wait_for_runs(pair.cut, 1)
    monkeypatch.setattr(probes, "_async_connect", async_connect_in_vain)
    gate.is_open = True
    async with asyncio.timeout(2.0):
        answer = await asking
    assert answer.body.count(b"id:") == 6
    await pair.cut.chooser.probes.async_unload()


async def async_connect_in_vain(address, open_seconds):
    return False


async def test_ended_neighbours_do_not_make_a_stream_leave(make_pair):
    """Two targets of a domain end; a stream at a third that works must stay there."""
    gate = Gate(range(1, 4), range(4, 7))
    pair = await make_pair(gate, gate, gate, has_engines=True, has_links=True)
    asking = asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
    await async_wait_for_runs(pair.cut, 1)
    await asyncio.sleep(0.1)
    gate.is_open = True
    ended = [target.id for target in pair.cut.targets if not target.requests]
    for name in ended:
        target = pair.cut.state.registry.get(name)
        pair.cut.chooser.probes.record_failure(target, SendFault.NOT_CONNECTED)
    await asyncio.sleep(1.0)
    assert pair.cut.runs == 1
    asking.cancel()
    await asyncio.gather(asking, return_exceptions=True)


async def test_peer_is_looked_for_again_after_the_first_search_failed(make_pair):
    """The peer pauses as the links are lost; a waiting stream must not wait in vain."""
    gate = Gate(range(1, 4), range(4, 7))
    pair = await make_pair(gate, gate, gate, has_engines=True, has_links=True)
    get_hosts, pair.peer_relays.get_hosts = pair.peer_relays.get_hosts, lambda: ()
    asking = asyncio.ensure_future(pair.cut.async_ask_prompt("900,300"))
    await async_wait_for_runs(pair.cut, 1)
    await asyncio.sleep(0.1)
    gate.is_open = True
    pair.lose_links()
    await asyncio.sleep(0.1)
    pair.peer_relays.get_hosts = get_hosts
    async with asyncio.timeout(2.5):
        answer = await asking
    assert answer.body.count(b"id:") == 6
