"""Tests of the exchange of targets' cooldowns between hosts."""

import random
import time
from contextlib import AsyncExitStack

import pytest

from tarragonward_core import Address
from tarragonward_gateway.clock import read_clock
from tarragonward_gateway.const import MAX_REPORTED_COOLDOWN_SECONDS
from tarragonward_gateway.cooldown_gossip import CooldownGossip
from tarragonward_gateway.cooldown_task import CooldownTask
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.targets import TargetChooser
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import TargetCooldowns

TARGETS = [
    RegisteredTarget(name, "s", Address("127.0.0.1", 9), "d", 8, True, 1)
    for name in ("a", "b")
]


class Host:
    def __init__(self, state):
        self.peers = Peers(state)
        self.chooser = TargetChooser(state, time.monotonic)
        self.task = CooldownTask(state, self.peers, self.chooser)

    @property
    def usable(self):
        cooldowns, now = self.chooser.cooldowns, read_clock()
        available = cooldowns.get_available(TARGETS, now)
        return [
            target.id for target in cooldowns.prefer(available, now, is_retry=False)
        ]


@pytest.fixture
async def hosts(build_peer_state, wait_for):
    async with AsyncExitStack() as stack:
        made = [Host(build_peer_state(number)) for number in range(3)]
        for host in made:
            for part in (host.peers, host.task):
                await part.async_setup()
                stack.push_async_callback(part.async_unload)
        await wait_for(lambda: all(len(h.peers.get_names()) == 2 for h in made))
        yield made


async def test_hosts_avoid_targets_that_asked_another_host_for_a_cooldown(
    hosts, wait_for
):
    """Otherwise each host would lose a request to each overloaded target."""
    first, *others = hosts
    first.chooser.statements.record(TARGETS[0], 503, {"retry-after": "5"})
    await wait_for(lambda: all(host.usable == ["b"] for host in hosts))
    for other in others:
        assert other.chooser.accepts_requests(TARGETS[0])


def test_reported_cooldown_ends_soon_whatever_a_host_says():
    """A hint that is wrong must not leave a target idle for long."""
    cooldowns = TargetCooldowns()
    gossip = CooldownGossip(cooldowns, random.Random(1))
    gossip.merge([["a", 86_400_000]], 0.0, 100.0)
    longest = 2 * MAX_REPORTED_COOLDOWN_SECONDS
    assert [t.id for t in cooldowns.prefer(TARGETS, 100.0 + longest, False)] == [
        "a",
        "b",
    ]


@pytest.mark.parametrize("data", [[["a"]], [[1, 2]], [["a", "b"]], [["a", True]], 7])
def test_malformed_cooldowns_are_refused(data):
    gossip = CooldownGossip(TargetCooldowns(), random.Random(1))
    with pytest.raises((TypeError, ValueError)):
        gossip.merge(data, 0.0, 100.0)
