"""Hosts that find each other by seeds, on a fake clock and network."""

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


class Net:
    """Hosts that tell each other in rounds; pairs in cuts lose all."""

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
                self.carry(host, host.handle(RoundDue(500), self.now))

    def carry(self, host, effects):
        targets = [a for e in effects if isinstance(e, SendHello) for a in e.addresses]
        if not targets:
            return
        address = host.own.address
        hello = Hello.unpack(address, host.build_hello(self.now).pack())
        self.bytes += 500 * len(targets)
        for target in targets:
            lost = self.random.random() < self.loss or self.is_cut(address, target)
            if target in self.hosts and not lost:
                other = self.hosts[target]
                self.carry(other, other.handle(HelloReceived(hello), self.now))

    def has_whole_view(self):
        lives = {host.own for host in self.hosts.values()}
        return all(
            {peer.identity for peer in host.get_peers()} == lives - {host.own}
            for host in self.hosts.values()
        )


@pytest.mark.parametrize("seed", range(10))
def test_all_are_found_through_a_seed_that_is_alive(seed):
    net = Net(seed, 9, seeds=(4, 77, 78))
    net.run(1.0)
    assert net.has_whole_view()


@pytest.mark.parametrize("seed", range(10))
def test_views_agree_after_restarts_losses_and_a_cut(seed):
    """A cut and restarts behind it; the views are whole soon after the last fault."""
    net = Net(seed, 9)
    net.run(2.0)
    net.loss = 0.1
    net.cut([build_address(number) for number in range(0, 9, 3)])
    net.run(6.0)
    for number in net.random.sample(range(9), 4):
        net.start(number)
    del net.hosts[build_address(8)]
    net.run(1.0)
    net.cuts.clear()
    net.loss = 0.0
    net.run(5.0)
    assert net.has_whole_view()


def test_only_a_host_that_should_have_peers_is_isolated():
    """The one host of a small site must not be taken for one that is cut off."""
    alone, fleet = Net(1, 1, seeds=(0,)), Net(1, 3)
    assert not alone.hosts[build_address(0)].is_isolated
    assert all(host.is_isolated for host in fleet.hosts.values())
    fleet.run(2.0)
    assert not any(host.is_isolated for host in fleet.hosts.values())


def test_a_host_whose_seeds_are_all_dead_is_found_by_those_it_knew():
    """After a cut both sides are alone; no seed of the one side is alive.

    The hosts that were lost are asked now and then, so the sides meet again.
    """
    net = Net(1, 6)
    net.run(2.0)
    for number in (0, 1, 2):
        del net.hosts[build_address(number)]
    net.cut([build_address(3)])
    net.run(6.0)
    assert net.hosts[build_address(3)].count_hosts() == 1
    net.cuts.clear()
    net.run(8.0)
    assert net.has_whole_view()


def test_a_large_fleet_knows_itself_within_a_bound_of_bytes():
    net = Net(3, 320, domains=4)
    net.run(16.0)
    net.bytes = 0
    net.run(4.0)
    assert net.bytes / 4.0 / 320 <= 3_000
    known = [host.count_hosts() for host in net.hosts.values()]
    assert sum(known) / 320 >= 310


def test_mates_are_greeted_in_each_round_also_in_a_large_fleet():
    net = Net(3, 60)
    net.run(12.0)
    host = next(iter(net.hosts.values()))
    mates = [peer.identity.address for peer in host.get_peers()][:8]
    host.set_cell_peers(mates)
    greets = [
        e for e in host.handle(RoundDue(500), net.now) if isinstance(e, SendHello)
    ]
    assert set(mates) <= {address for greet in greets for address in greet.addresses}
    brief = host.build_hello(net.now, is_brief=True)
    assert brief.entries == ()
    assert brief.identity == host.own


def test_tens_of_mates_that_had_news_are_not_told_again_in_the_next_rounds():
    """Each host of a domain sends and reads some 86 datagrams a second at 195 hosts.

    All that counts is told at once. Rounds that tell it again use up the bytes and the
    time of both ends; a mate is told again only where it had nothing for a while.
    """
    net = Net(3, 60)
    net.run(12.0)
    host = next(iter(net.hosts.values()))
    mates = [peer.identity.address for peer in host.get_peers()][:30]
    host.set_cell_peers(mates)
    host.choose_immediate_receivers(100, net.now, is_urgent=True)
    assert host.choose_brief_receivers((), 100, 9.0, net.now + 1.0) == ()
    due = net.now + CELL_REFRESH_SECONDS
    assert set(host.choose_brief_receivers((), 100, 9.0, due)) == set(
        host.get_cell_peers()
    )


def test_the_domain_of_a_host_is_known_by_others_word():
    """A host that heard few itself must not take its domain for nearly empty."""
    net = Net(4, 60)
    net.run(12.0)
    host = list(net.hosts.values())[-1]
    assert all(peer.failure_domain for peer in host.get_peers())
    assert any(not peer.name for peer in host.get_peers())


def test_a_host_alone_counts_more_than_itself():
    """A restarted host behind a cut must not take the whole of what all share."""
    net = Net(1, 9)
    net.run(1.0)
    net.cut([build_address(3)])
    net.run(10.0)
    assert net.hosts[build_address(3)].get_max_host_count(net.now) == 9
    net.start(3)
    assert net.hosts[build_address(3)].get_max_host_count(net.now) == 9
    net.run(70.0)
    assert net.hosts[build_address(3)].get_max_host_count(net.now) == 3
    net.run(700.0, step=1.0)
    assert net.hosts[build_address(4)].get_max_host_count(net.now) == 8


def test_a_late_hello_is_old_and_of_an_earlier_life_only_for_a_moment():
    """A paused host wakes to a full socket: what lies there is seconds old."""
    net = Net(1, 2)
    net.run(1.0)
    one, other = net.hosts.values()
    late = other.build_hello(net.now)
    one.handle(HelloReceived(late), net.now)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, late.timestamp, net.now + 5.0) == pytest.approx(
        5.0, abs=0.1
    )
    last_seen_at = peer.last_seen_at
    one.handle(HelloReceived(late), net.now + 5.0)
    assert peer.last_seen_at == last_seen_at


def test_an_earlier_hello_that_comes_later_changes_nothing():
    """A host tells that it leaves; a hello that it sent before is overtaken.

    Taken for news, it would bring the host back among those that take part.
    """
    net = Net(1, 2)
    net.run(1.0)
    one, other = net.hosts.values()
    earlier = other.build_hello(net.now)
    other.is_leaving = True
    one.handle(HelloReceived(other.build_hello(net.now + 0.1)), net.now + 0.2)
    one.handle(HelloReceived(earlier), net.now + 0.3)
    assert one.get_peer(other.own.address).is_leaving


def test_what_lay_in_a_socket_is_old_also_after_its_sender_was_dropped():
    """A host stands still for long; callers are denied by what it takes for fresh.

    It wakes and drops all that was silent to it, then reads what lay in its socket.
    The sender is the same life, so its least delay is still known and tells the age.
    """
    net = Net(1, 2)
    net.run(1.0)
    one, other = net.hosts.values()
    late = other.build_hello(net.now)
    woken = net.now + 10.0
    one.handle(RoundDue(500), woken)
    assert one.get_peer(other.own.address) is None
    one.handle(HelloReceived(late), woken)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, late.timestamp, woken) == pytest.approx(10.0, abs=0.1)


def test_the_first_word_of_a_peer_is_in_doubt_when_it_may_have_lain_in_the_socket():
    """A host stands still; a peer that it never heard itself tells what it knows.

    In a large fleet many are known by others' word only, so no delay of theirs is
    known. What comes when the socket has been read shows the true delay.
    """
    net = Net(1, 2)
    one, other = net.hosts.values()
    late, fresh = other.build_hello(net.now), other.build_hello(net.now + 3.0)
    woken = net.now + 2.0
    one.note_suspended(2.0, woken)
    one.handle(HelloReceived(late), woken)
    peer = one.get_peer(other.own.address)
    assert one.compute_age(peer, late.timestamp, woken) == pytest.approx(2.0)
    one.handle(HelloReceived(fresh), net.now + 3.0)
    assert one.compute_age(peer, fresh.timestamp, net.now + 3.0) == pytest.approx(0.0)


def test_an_old_entry_brings_nobody_back():
    net = Net(1, 2)
    net.run(1.0)
    host, other = net.hosts.values()
    gone = HostIdentity(build_address(50), 1)
    hello = Hello(
        other.own,
        "x",
        "y",
        int(net.now * 1_000_000) + 5,
        1,
        False,
        (PeerEntry(gone, 9.0),),
    )
    host.handle(HelloReceived(hello), net.now)
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
def test_a_malformed_hello_is_refused(item):
    with pytest.raises(FrameError):
        Hello.unpack(build_address(1), item)
