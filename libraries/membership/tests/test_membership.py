"""Tests of membership's decisions on a fake network, one failure each."""

from dataclasses import replace

import pytest

from tarragonward_bench.membership_network import FakeNetwork, NetworkPlan
from tarragonward_core import Address, HostIdentity, invariants
from tarragonward_membership import (
    GossipReceived,
    HostListRead,
    LoadReport,
    MemberRecord,
    Membership,
    MemberState,
    RecordState,
    SendProbe,
    Tick,
)


@pytest.fixture(autouse=True)
def strict_invariants():
    invariants.strict = True
    yield
    invariants.strict = False


@pytest.fixture
def network():
    network = FakeNetwork(NetworkPlan(), seed=1)
    network.run(10)
    assert network.find_disagreement() is None
    return network


def get_state(host, other):
    members = host.membership.get_members()
    return {m.listed.address: m.state for m in members}[other.address]


@pytest.mark.parametrize("is_one_way", [True, False])
def test_a_host_that_one_cannot_reach_is_not_suspected_when_others_can(
    network, is_one_way
):
    """A path is broken; sweeps must not cancel the streams behind it.

    The first host's probes to the second are lost, or all between them. Helpers of
    its domain reach it, so it is neither suspected nor gone while the cut lasts.
    """
    first, second, *_ = network.hosts.values()
    network.cut([first], [second])
    if not is_one_way:
        network.cut([second], [first])
    for _ in range(60):
        network.run(0.5)
        assert get_state(first, second) is MemberState.ALIVE
        assert not first.membership.is_gone(second.membership.identity, network.now)


def test_a_frozen_host_that_wakes_declares_nobody_dead(network):
    """A paused host wakes with every probe overdue; owners' streams must go on.

    It was itself that did not listen. It drops the overdue probes, and at no moment
    after it woke is any live host dead or gone to it.
    """
    frozen, *others = network.hosts.values()
    network.freeze(frozen)
    network.run(30)
    assert get_state(others[0], frozen) is MemberState.DEAD
    network.wake(frozen)
    for _ in range(100):
        for other in others:
            assert get_state(frozen, other) is not MemberState.DEAD
            assert not frozen.membership.is_gone(other.membership.identity, network.now)
        network.run(0.1)
    assert network.find_disagreement() is None


def test_a_host_that_returns_has_another_life_and_the_former_is_gone(network):
    """An owner dies and comes back at once; its former life's streams must go.

    Nobody has suspected it. Sweeps ask about the former life; the new one answers the
    next probe, which ends the former for them, and is never taken for gone itself.
    """
    returned, *others = network.hosts.values()
    network.kill(returned)
    network.run(0.2)
    network.start(returned)
    former = returned.former[0]
    for _ in range(40):
        network.run(0.25)
        for other in others:
            now = network.now
            assert not other.membership.is_gone(returned.membership.identity, now)
            other.membership.is_gone(former, now)
    assert all(h.membership.is_gone(former, network.now) for h in others)


def test_a_life_that_was_never_heard_of_is_gone_once_its_address_stays_silent(network):
    host = next(iter(network.hosts.values()))
    unknown = HostIdentity(Address("10.9.9.9", 7_000), 5)
    assert not host.membership.is_gone(unknown, network.now)
    network.run(2)
    assert not host.membership.is_gone(unknown, network.now)
    network.run(10)
    assert host.membership.is_gone(unknown, network.now)


def test_a_younger_life_is_not_gone_because_an_old_record_comes_late():
    """A rumour of the former life arrives after the new life was heard of.

    The former life's record has the greater version and wins for a moment. The new
    life's streams must not be swept: only an answer to a probe ends a life.
    """
    own = HostIdentity(Address("10.0.0.1", 7_000), 1)
    new = HostIdentity(Address("10.0.0.2", 7_000), 2)
    membership = Membership(own, "a")
    members = FakeNetwork(NetworkPlan(), seed=2)
    listed = tuple(h.listed for h in members.hosts.values())
    membership.handle(HostListRead(listed), 0.0)
    assert not membership.is_gone(new, 0.1)
    late = HostIdentity(new.address, 3)
    record = (bytes([10, 0, 0, 2]), 7_000, late.incarnation, 9, int(RecordState.ALIVE))
    probe = members.hosts[new.address].membership.build_gossip(own.address, 0.2)
    message = replace(probe, records=(record,))
    sender = HostIdentity(Address("10.0.0.3", 7_000), 4)
    membership.handle(GossipReceived(sender, message), 0.2)
    assert not membership.is_gone(new, 0.3)


def test_an_isolated_host_does_not_make_others_dead_to_the_rest(network):
    """One host was cut off, declares all dead, and is joined again.

    Its word must not be taken: at no moment is a live host dead to a third one.
    """
    alone, *others = network.hosts.values()
    network.cut([alone], others)
    network.cut(others, [alone])
    network.run(30)
    assert all(get_state(alone, other) is MemberState.DEAD for other in others)
    network.heal()
    for _ in range(80):
        network.run(0.25)
        for host in others:
            for other in others:
                if host is not other:
                    assert get_state(host, other) is not MemberState.DEAD
    assert network.find_disagreement() is None


def test_a_list_that_lags_removes_nobody_who_is_heard(network):
    host, other, *_ = network.hosts.values()
    lagging = tuple(
        h.listed for h in network.hosts.values() if h.address != other.address
    )
    host.membership.handle(HostListRead(lagging), network.now)
    assert get_state(host, other) is MemberState.ALIVE
    network.run(5)
    assert get_state(host, other) is MemberState.ALIVE
    host.membership.handle(HostListRead((*lagging, other.listed)), network.now)
    network.run(1)
    assert get_state(host, other) is MemberState.ALIVE


def test_probes_do_not_grow_with_the_hosts():
    """Each host probes one of its domain a round, and only bridges go across."""
    plan = NetworkPlan(failure_domains=("a", "b"), hosts_per_domain=30)
    network = FakeNetwork(plan, seed=3)
    network.run(20)
    for host in network.hosts.values():
        host.messages_sent = 0
    network.run(20)
    rates = sorted(h.messages_sent / 20 for h in network.hosts.values())
    assert rates[len(rates) // 2] < 4
    assert rates[-1] < 8
    bridges = [h for h in network.hosts.values() if is_bridge(h, "a", "b")]
    assert len(bridges) == 2


def is_bridge(host, domain, other):
    membership = host.membership
    if membership.failure_domain != domain:
        return False
    return membership._schedule.is_bridge(membership._members, other)


def test_a_host_that_slept_through_a_suspicion_does_not_end_it_as_death(network):
    """A host hears a suspicion, is paused past its end, and wakes.

    The refutation came while it slept and is still unread. Were the suspicion's end
    taken as it stands, the live host's streams would be swept.
    """
    first, second, *_ = network.hosts.values()
    deliver(network, first, second, RecordState.SUSPECT)
    woken = network.now + 30
    first.membership.handle(Tick(), woken)
    assert get_state(first, second) is MemberState.SUSPECT
    assert not first.membership.is_gone(second.membership.identity, woken)


@pytest.mark.parametrize("state", [RecordState.SUSPECT, RecordState.DEAD])
def test_nobody_dies_of_another_hosts_word(network, state):
    """A host that was cut off says that a live one is dead; it is given its time.

    The word counts as suspicion. The one that it is about hears of it and refutes it,
    and at no moment is it dead or gone to anybody.
    """
    first, second, *_ = network.hosts.values()
    deliver(network, first, second, state)
    assert get_state(first, second) is MemberState.SUSPECT
    for _ in range(100):
        network.run(0.1)
        for host in network.hosts.values():
            if host is not second:
                assert get_state(host, second) is not MemberState.DEAD
                life = second.membership.identity
                assert not host.membership.is_gone(life, network.now)
    assert network.find_disagreement() is None


def deliver(network, host, other, state):
    """Let a host hear that another is in a state, at its newest version."""
    life = other.membership.identity
    version = other.membership._own.version
    record = MemberRecord(life, version, state).pack()
    sender = list(network.hosts.values())[-1].membership
    probe = sender.build_gossip(host.address, network.now)
    message = replace(probe, records=(record,))
    host.membership.handle(GossipReceived(sender.identity, message), network.now)


def test_halves_of_one_domain_find_each_other_after_a_cut():
    """Each half holds the other for dead, so nobody would probe across again."""
    network = FakeNetwork(NetworkPlan(("a",), 4), seed=5)
    network.run(10)
    hosts = list(network.hosts.values())
    network.cut(hosts[:2], hosts[2:])
    network.cut(hosts[2:], hosts[:2])
    network.run(60)
    assert get_state(hosts[0], hosts[2]) is MemberState.DEAD
    network.heal()
    network.run(30)
    assert network.find_disagreement() is None


def test_a_host_that_starts_after_a_death_in_another_domain_hears_of_it():
    """It is no bridge, so it never probes the dead host that is still listed.

    The rumour of the suspicion is over. Only the records told in turn are left to
    tell it; without them an owner that died would count as there for good.
    """
    network = FakeNetwork(NetworkPlan(("a", "b"), 5), seed=6)
    network.run(10)
    dead, *_ = network.hosts.values()
    late = next(
        host
        for host in network.hosts.values()
        if host.listed.failure_domain == "b" and not is_bridge(host, "b", "a")
    )
    network.kill(late)
    network.kill(dead)
    network.run(60)
    network.start(late)
    network.run(30)
    assert get_state(late, dead) is MemberState.DEAD


def test_each_target_is_watched_by_two_hosts_of_its_domain(network):
    for number in range(20):
        watchers = [
            host
            for host in network.hosts.values()
            if host.membership.is_watcher(f"engine-{number}", "a")
        ]
        assert len(watchers) == 2
        assert {host.listed.failure_domain for host in watchers} == {"a"}


def test_targets_of_a_domain_without_hosts_are_watched_by_others(network):
    for host in network.hosts.values():
        if host.listed.failure_domain == "a":
            network.kill(host)
    network.run(30)
    up = network.get_up()
    watchers = [h for h in up if h.membership.is_watcher("engine-1", "a")]
    assert len(watchers) == 2


def test_a_load_report_reaches_all_nine_hosts_within_about_a_second(network):
    targets = {"engine-1": "a"}
    for host in network.hosts.values():
        domain = host.listed.failure_domain
        near = {name: home == domain for name, home in targets.items()}
        host.membership.loads.set_targets(near)
    ages = []
    for _ in range(40):
        read_at = network.now
        report = LoadReport("engine-1", 100_000, 5_000, 3, read_at)
        hosts = list(network.hosts.values())
        for host in hosts:
            if host.membership.is_watcher("engine-1", "a"):
                host.membership.loads.record(report)
        network.run(0.5)
        ages += [network.now - get_reported_at(host) for host in hosts]
    # The first reports have not arrived yet; each is 0.5 s old when it is looked at.
    ages = sorted(ages[45:])
    assert ages[len(ages) // 2] <= 1.0
    assert ages[-len(ages) // 20] <= 2.0


def get_reported_at(host):
    report = host.membership.loads.get("engine-1")
    return report.reported_at if report is not None else float("-inf")


def test_demand_of_other_hosts_and_domains_is_summed(network):
    for host in network.hosts.values():
        host.membership.demands.set_accounts(["shelfwise", "camara"])
    for _ in range(10):
        for host in network.hosts.values():
            host.membership.demands.set_own_rates({"shelfwise": 100.0}, network.now)
        network.run(1)
    for host in network.hosts.values():
        demand = host.membership.get_demand(network.now)
        assert demand["shelfwise"] == pytest.approx(800, rel=0.1)


def test_a_host_that_drains_is_leaving_for_the_others(network):
    leaving, *others = network.hosts.values()
    leaving.membership.set_leaving()
    network.run(5)
    assert all(get_state(other, leaving) is MemberState.LEAVING for other in others)


def test_a_probe_goes_out_in_the_first_tick():
    network = FakeNetwork(NetworkPlan(), seed=4)
    host = next(iter(network.hosts.values()))
    effects = host.membership.handle(Tick(), 0.0)
    assert any(isinstance(effect, SendProbe) for effect in effects)
