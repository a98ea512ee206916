"""Tests of membership on a fake network, each for one kind of failure."""

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
def test_host_reachable_through_helpers_is_not_suspected(network, is_one_way):
    """A broken path between two hosts must not let a sweep cancel live streams.

    Probes from the first host to the second are lost, in one or both directions.
    Helpers of its domain reach it, so it is neither suspected nor gone meanwhile.
    """
    first, second, *_ = network.hosts.values()
    network.block([first], [second])
    if not is_one_way:
        network.block([second], [first])
    for _ in range(60):
        network.run(0.5)
        assert get_state(first, second) is MemberState.ALIVE
        assert not first.membership.is_gone(second.membership.identity, network.now)


def test_host_resumed_after_a_pause_declares_no_host_dead(network):
    """A host that resumes with overdue probes must not let live owners be swept.

    It did not read the answers while it was paused. It drops the overdue probes, and
    at no time after it resumed does it consider a live host dead or gone.
    """
    paused, *others = network.hosts.values()
    network.pause(paused)
    network.run(30)
    assert get_state(others[0], paused) is MemberState.DEAD
    network.resume(paused)
    for _ in range(100):
        for other in others:
            assert get_state(paused, other) is not MemberState.DEAD
            assert not paused.membership.is_gone(other.membership.identity, network.now)
        network.run(0.1)
    assert network.find_disagreement() is None


def test_restarted_host_ends_its_previous_incarnation(network):
    """An owner restarts before it is suspected; its old streams must be swept.

    Sweeps query the previous incarnation. The new one answers the next probe, which
    ends the previous one, and never counts as gone itself.
    """
    returned, *others = network.hosts.values()
    network.kill(returned)
    network.run(0.2)
    network.start(returned)
    previous = returned.previous_identities[0]
    for _ in range(40):
        network.run(0.25)
        for other in others:
            now = network.now
            assert not other.membership.is_gone(returned.membership.identity, now)
            other.membership.is_gone(previous, now)
    assert all(h.membership.is_gone(previous, network.now) for h in others)


def test_unknown_incarnation_is_gone_once_its_address_stays_silent(network):
    host = next(iter(network.hosts.values()))
    unknown = HostIdentity(Address("10.9.9.9", 7_000), 5)
    assert not host.membership.is_gone(unknown, network.now)
    network.run(2)
    assert not host.membership.is_gone(unknown, network.now)
    network.run(10)
    assert host.membership.is_gone(unknown, network.now)


def test_delayed_record_of_an_old_incarnation_does_not_end_the_new_one():
    """A delayed record of the previous incarnation must not let the new one be swept.

    It arrives after the new incarnation was heard of, and its higher version wins for a
    moment. Only an answer to a probe ends an incarnation.
    """
    own = HostIdentity(Address("10.0.0.1", 7_000), 1)
    new = HostIdentity(Address("10.0.0.2", 7_000), 2)
    membership = Membership(own, "a")
    members = FakeNetwork(NetworkPlan(), seed=2)
    listed = tuple(h.listed for h in members.hosts.values())
    membership.handle(HostListRead(listed), 0.0)
    assert not membership.is_gone(new, 0.1)
    delayed = HostIdentity(new.address, 3)
    record = (
        bytes([10, 0, 0, 2]),
        7_000,
        delayed.incarnation,
        9,
        int(RecordState.ALIVE),
    )
    probe = members.hosts[new.address].membership.build_gossip(own.address, 0.2)
    message = replace(probe, records=(record,))
    sender = HostIdentity(Address("10.0.0.3", 7_000), 4)
    membership.handle(GossipReceived(sender, message), 0.2)
    assert not membership.is_gone(new, 0.3)


def test_isolated_host_does_not_make_others_dead_to_the_rest(network):
    """A host that was partitioned declares all others dead, then rejoins.

    Its records must not be believed: at no time does a third host consider a live one
    dead.
    """
    isolated, *others = network.hosts.values()
    network.block([isolated], others)
    network.block(others, [isolated])
    network.run(30)
    assert all(get_state(isolated, other) is MemberState.DEAD for other in others)
    network.heal()
    for _ in range(80):
        network.run(0.25)
        for host in others:
            for other in others:
                if host is not other:
                    assert get_state(host, other) is not MemberState.DEAD
    assert network.find_disagreement() is None


def test_outdated_host_list_removes_no_live_host(network):
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


def test_probe_rate_does_not_grow_with_the_number_of_hosts():
    """Each host probes one local host a round, and only bridges other domains."""
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


def test_host_paused_past_a_suspicion_does_not_declare_death(network):
    """A host receives a suspicion, and is paused until after the suspicion time.

    The refutation arrived during the pause and is still unread. If the suspicion
    expired on resuming, the streams of a live host would be swept.
    """
    first, second, *_ = network.hosts.values()
    deliver(network, first, second, RecordState.SUSPECT)
    resumed_at = network.now + 30
    first.membership.handle(Tick(), resumed_at)
    assert get_state(first, second) is MemberState.SUSPECT
    assert not first.membership.is_gone(second.membership.identity, resumed_at)


@pytest.mark.parametrize("state", [RecordState.SUSPECT, RecordState.DEAD])
def test_reported_death_counts_only_as_suspicion(network, state):
    """A host that was partitioned reports a live one as dead.

    The report counts as a suspicion, which the live host refutes in time. At no time
    does any host consider it dead or gone.
    """
    first, second, *_ = network.hosts.values()
    deliver(network, first, second, state)
    assert get_state(first, second) is MemberState.SUSPECT
    for _ in range(100):
        network.run(0.1)
        for host in network.hosts.values():
            if host is not second:
                assert get_state(host, second) is not MemberState.DEAD
                identity = second.membership.identity
                assert not host.membership.is_gone(identity, network.now)
    assert network.find_disagreement() is None


def deliver(network, host, other, state):
    """Deliver a record with this state at the other host's current version."""
    identity = other.membership.identity
    version = other.membership._own.version
    record = MemberRecord(identity, version, state).pack()
    sender = list(network.hosts.values())[-1].membership
    probe = sender.build_gossip(host.address, network.now)
    message = replace(probe, records=(record,))
    host.membership.handle(GossipReceived(sender.identity, message), network.now)


def test_halves_of_one_domain_rejoin_after_a_partition():
    """Each half considers the other dead and would never probe it again."""
    network = FakeNetwork(NetworkPlan(("a",), 4), seed=5)
    network.run(10)
    hosts = list(network.hosts.values())
    network.block(hosts[:2], hosts[2:])
    network.block(hosts[2:], hosts[:2])
    network.run(60)
    assert get_state(hosts[0], hosts[2]) is MemberState.DEAD
    network.heal()
    network.run(30)
    assert network.find_disagreement() is None


def test_host_started_after_a_death_in_another_domain_learns_of_it():
    """A host that starts late_host would consider a dead owner available forever.

    It is no bridge, so it never probes the dead host, which is still listed, and the
    suspicion is no longer gossiped. Only the records sent in rotation tell it.
    """
    network = FakeNetwork(NetworkPlan(("a", "b"), 5), seed=6)
    network.run(10)
    dead, *_ = network.hosts.values()
    late_host = next(
        host
        for host in network.hosts.values()
        if host.listed.failure_domain == "b" and not is_bridge(host, "b", "a")
    )
    network.kill(late_host)
    network.kill(dead)
    network.run(60)
    network.start(late_host)
    network.run(30)
    assert get_state(late_host, dead) is MemberState.DEAD


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
    up = network.get_running()
    watchers = [h for h in up if h.membership.is_watcher("engine-1", "a")]
    assert len(watchers) == 2


def test_load_report_reaches_all_nine_hosts_within_about_a_second(network):
    targets = {"engine-1": "a"}
    for host in network.hosts.values():
        domain = host.listed.failure_domain
        is_local_by_target = {name: home == domain for name, home in targets.items()}
        host.membership.loads.set_targets(is_local_by_target)
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
    # Skip the first samples, before reports arrive. Each report is read 0.5 s later.
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


def test_draining_host_is_leaving_for_the_others(network):
    leaving, *others = network.hosts.values()
    leaving.membership.set_leaving()
    network.run(5)
    assert all(get_state(other, leaving) is MemberState.LEAVING for other in others)


def test_first_tick_sends_a_probe():
    network = FakeNetwork(NetworkPlan(), seed=4)
    host = next(iter(network.hosts.values()))
    effects = host.membership.handle(Tick(), 0.0)
    assert any(isinstance(effect, SendProbe) for effect in effects)
