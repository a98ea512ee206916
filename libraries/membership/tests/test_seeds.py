"""Tests of membership by seeds on a fake clock and network."""

import random

import pytest

from tarragonward_core import Address, FrameError, HostIdentity, invariants
from tarragonward_membership import (
    Hello,
    HelloReceived,
    PeerEntry,
    RoundDue,
    SeedMembership,
    SendHello,
)
from tarragonward_membership.const import CELL_REFRESH_SECONDS

PORT = 7340
ROUND_SECONDS = 0.2


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


def build_address(number):
    return Address(f"10.{number // 200}.0.{number % 200 + 1}", PORT)


class FakeNetwork:
    """Hosts that exchange hellos in rounds; pairs in cuts lose all of them."""

    def __init__(self, seed, count, domains=3, seeds=(0, 1, 2)):
        self.random = random.Random(seed)
        self.now = 100.0
        self.seeds = [build_address(number) for number in seeds]
        self.domains = domains
        self.hosts = {}
        self.cuts = set()
        self.loss = 0.0
        self.bytes = 0
        for number in range(count):
            self.start(number)

    def start(self, number):
        address = build_address(number)
        self.hosts[address] = SeedMembership(
            HostIdentity(address, self.random.getrandbits(48)),
            f"host-{number}",
            f"domain-{number % self.domains}",
            self.seeds,
            random.Random(self.random.random()),
            self.now,
        )

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def cut(self, side):
        for one in side:
            for other in set(self.hosts) - set(side):
                self.cuts.add(frozenset((one, other)))

    def run(self, seconds, step=ROUND_SECONDS):
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for host in list(self.hosts.values()):
                self.deliver(host, host.handle(RoundDue(500), self.now))

    def deliver(self, host, effects):
        receivers = [
            a for e in effects if isinstance(e, SendHello) for a in e.addresses
        ]
        if not receivers:
            return
        address = host.own.address
        hello = Hello.unpack(address, host.build_hello(self.now).pack())
        self.bytes += 500 * len(receivers)
        for receiver in receivers:
            lost = self.random.random() < self.loss or self.is_cut(address, receiver)
            if receiver in self.hosts and not lost:
                other = self.hosts[receiver]
                self.deliver(other, other.handle(HelloReceived(hello), self.now))

    def has_complete_views(self):
        identities = {host.own for host in self.hosts.values()}
        return all(
            {peer.identity for peer in host.get_peers()} == identities - {host.own}
            for host in self.hosts.values()
        )


@pytest.mark.parametrize("seed", range(10))
def test_all_hosts_are_found_through_one_live_seed(seed):
    network = FakeNetwork(seed, 9, seeds=(4, 77, 78))
    network.run(1.0)
    assert network.has_complete_views()


@pytest.mark.parametrize("seed", range(10))
def test_views_agree_after_restarts_losses_and_a_partition(seed):
    """Hosts restart during a partition; views must be complete soon after it heals."""
    network = FakeNetwork(seed, 9)
    network.run(2.0)
    network.loss = 0.1
    network.cut([build_address(number) for number in range(0, 9, 3)])
    network.run(6.0)
    for number in network.random.sample(range(9), 4):
        network.start(number)
    del network.hosts[build_address(8)]
    network.run(1.0)
    network.cuts.clear()
    network.loss = 0.0
    network.run(5.0)
    assert network.has_complete_views()


def test_only_a_host_with_other_seeds_is_isolated():
    """The only host of a small site must not be taken for a partitioned one."""
    single, fleet = FakeNetwork(1, 1, seeds=(0,)), FakeNetwork(1, 3)
    assert not single.hosts[build_address(0)].is_isolated
    assert all(host.is_isolated for host in fleet.hosts.values())
    fleet.run(2.0)
    assert not any(host.is_isolated for host in fleet.hosts.values())


def test_host_whose_seeds_are_all_dead_is_found_by_its_former_peers():
    """After a partition heals, a host without live seeds would stay single.

    Hosts send hellos to lost peers at intervals, so the two sides rejoin.
    """
    network = FakeNetwork(1, 6)
    network.run(2.0)
    for number in (0, 1, 2):
        del network.hosts[build_address(number)]
    network.cut([build_address(3)])
    network.run(6.0)
    assert network.hosts[build_address(3)].count_hosts() == 1
    network.cuts.clear()
    network.run(8.0)
    assert network.has_complete_views()


def test_large_fleet_finds_all_hosts_within_the_byte_limit():
    network = FakeNetwork(3, 320, domains=4)
    network.run(16.0)
    network.bytes = 0
    network.run(4.0)
    assert network.bytes / 4.0 / 320 <= 3_000
    known = [host.count_hosts() for host in network.hosts.values()]
    assert sum(known) / 320 >= 310


def test_cell_peers_get_a_hello_in_each_round_of_a_large_fleet():
    network = FakeNetwork(3, 60)
    network.run(12.0)
    host = next(iter(network.hosts.values()))
    cell_peers = [peer.identity.address for peer in host.get_peers()][:8]
    host.set_cell_peers(cell_peers)
    hellos = [
        e for e in host.handle(RoundDue(500), network.now) if isinstance(e, SendHello)
    ]
    assert set(cell_peers) <= {
        address for hello in hellos for address in hello.addresses
    }
    brief = host.build_hello(network.now, is_brief=True)
    assert brief.entries == ()
    assert brief.identity == host.own


def test_many_cell_peers_get_no_repeat_in_rounds_after_an_immediate_update():
    """Rounds that repeat immediate updates would overload hosts of a large cell.

    With 195 hosts each host sends and reads some 86 datagrams a second. Changes that
    matter are sent at once, so a cell peer gets a hello in the rounds only if it got
    nothing for CELL_REFRESH_SECONDS.
    """
    network = FakeNetwork(3, 60)
    network.run(12.0)
    host = next(iter(network.hosts.values()))
    cell_peers = [peer.identity.address for peer in host.get_peers()][:30]
    host.set_cell_peers(cell_peers)
    host.choose_immediate_receivers(100, network.now, is_urgent=True)
    assert host.choose_brief_receivers((), 100, 9.0, network.now + 1.0) == ()
    due = network.now + CELL_REFRESH_SECONDS
    assert set(host.choose_brief_receivers((), 100, 9.0, due)) == set(
        host.get_cell_peers()
    )


def test_failure_domain_of_a_peer_is_known_from_other_hosts():
    """A host that few peers send to must not take its domain for nearly empty."""
    network = FakeNetwork(4, 60)
    network.run(12.0)
    host = list(network.hosts.values())[-1]
    assert all(peer.failure_domain for peer in host.get_peers())
    assert any(not peer.name for peer in host.get_peers())


def test_isolated_host_counts_more_hosts_than_itself():
    """A host restarted in a partition must not claim all of the shared limits."""
    network = FakeNetwork(1, 9)
    network.run(1.0)
    network.cut([build_address(3)])
    network.run(10.0)
    assert network.hosts[build_address(3)].get_max_host_count(network.now) == 9
    network.start(3)
    assert network.hosts[build_address(3)].get_max_host_count(network.now) == 9
    network.run(70.0)
    assert network.hosts[build_address(3)].get_max_host_count(network.now) == 3
    network.run(700.0, step=1.0)
    assert network.hosts[build_address(4)].get_max_host_count(network.now) == 8


def test_delayed_hello_has_its_age_and_does_not_refresh_its_sender():
    """A resumed host reads hellos that its socket buffered seconds before."""
    network = FakeNetwork(1, 2)
    network.run(1.0)
    one, other = network.hosts.values()
    delayed = other.build_hello(network.now)
    one.handle(HelloReceived(delayed), network.now)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, delayed.timestamp, network.now + 5.0) == pytest.approx(
        5.0, abs=0.1
    )
    last_seen_at = peer.last_seen_at
    one.handle(HelloReceived(delayed), network.now + 5.0)
    assert peer.last_seen_at == last_seen_at


def test_reordered_older_hello_is_ignored():
    """A hello sent before the sender announced that it leaves arrives after that.

    If it were applied, the host would count as not leaving again.
    """
    network = FakeNetwork(1, 2)
    network.run(1.0)
    one, other = network.hosts.values()
    earlier = other.build_hello(network.now)
    other.is_leaving = True
    one.handle(HelloReceived(other.build_hello(network.now + 0.1)), network.now + 0.2)
    one.handle(HelloReceived(earlier), network.now + 0.3)
    assert one.get_peer(other.own.address).is_leaving


def test_buffered_hello_keeps_its_age_after_its_sender_was_removed():
    """A host suspended for long refuses callers because of data it takes for current.

    On resuming it removes all peers as silent, then reads the hellos its socket
    buffered. The minimum delay of the same incarnation is kept and tells their age.
    """
    network = FakeNetwork(1, 2)
    network.run(1.0)
    one, other = network.hosts.values()
    delayed = other.build_hello(network.now)
    resumed_at = network.now + 10.0
    one.handle(RoundDue(500), resumed_at)
    assert one.get_peer(other.own.address) is None
    one.handle(HelloReceived(delayed), resumed_at)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, delayed.timestamp, resumed_at) == pytest.approx(
        10.0, abs=0.1
    )


def test_first_hello_of_a_peer_after_a_suspension_counts_as_old():
    """A resumed host reads a buffered hello of a peer that it had no hello from.

    In a large fleet many peers are known only through others, without a minimum delay.
    Hellos received after the buffer has been read show the actual delay.
    """
    network = FakeNetwork(1, 2)
    one, other = network.hosts.values()
    delayed, fresh = (
        other.build_hello(network.now),
        other.build_hello(network.now + 3.0),
    )
    resumed_at = network.now + 2.0
    one.record_suspension(2.0, resumed_at)
    one.handle(HelloReceived(delayed), resumed_at)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, delayed.timestamp, resumed_at) == pytest.approx(2.0)
    one.handle(HelloReceived(fresh), network.now + 3.0)
    assert one.compute_age(peer, fresh.timestamp, network.now + 3.0) == pytest.approx(
        0.0
    )


def test_expired_entry_does_not_restore_a_peer():
    network = FakeNetwork(1, 2)
    network.run(1.0)
    host, other = network.hosts.values()
    gone = HostIdentity(build_address(50), 1)
    hello = Hello(
        other.own,
        "x",
        "y",
        int(network.now * 1_000_000) + 5,
        1,
        False,
        (PeerEntry(gone, 9.0),),
    )
    host.handle(HelloReceived(hello), network.now)
    assert host.get_peer(gone.address) is None


@pytest.mark.parametrize(
    "item",
    [
        None,
        [],
        [1, "", "d", 1, 1, False, []],
        [1, "n", "d", -1, 1, False, []],
        [1, "n", "d", 1, 0, False, []],
        [1, "n", "d", 1, 1, 0, []],
        [True, "n", "d", 1, 1, False, []],
        [1, "n", "d", 1, 1, False, [[b"123", 1, 1, 1]]],
        [1, "n", "d", 1, 1, False, [[b"1234", 70_000, 1, 1]]],
        [1, "n", "d", 1, 1, False, [[b"1234", 1, 1, 1]] * 65],
    ],
)
def test_malformed_hello_is_refused(item):
    with pytest.raises(FrameError):
        Hello.unpack(build_address(1), item)
