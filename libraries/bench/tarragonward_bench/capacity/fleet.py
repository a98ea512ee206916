"""Measure gossip's slopes: the real decisions and codec on a fake network."""

from __future__ import annotations

import statistics
import time
from dataclasses import dataclass

from tarragonward_membership import (
    Gossip,
    GossipArrived,
    ListRead,
    LoadReport,
    MemberRecord,
    Membership,
    RecordState,
)

from ..membership_network import FakeNetwork, NetworkPlan
from .slopes import measure_kept_bytes

__all__ = ["GossipLoad", "measure_gossip", "measure_member_bytes", "tell_all"]

WARM_UP_SECONDS = 10.0
RUN_SECONDS = 10.0
REPORT_SECONDS_A_HOST = 0.03
MIN_REPORT_SECONDS = 0.5
MAX_REPORT_SECONDS = 8.0
DOMAINS = ("a", "b", "c", "d")
ACCOUNTS_A_HOST = 16


@dataclass(frozen=True)
class GossipLoad:
    """What gossip costs one host a second at a number of hosts.

    Bytes are the encoded messages, sent only; processor seconds hold the fake
    network too and so are an upper bound of the decisions'. Ages are in seconds,
    those of load reports on hosts of the runner's own domain.
    """

    hosts: int
    median_bytes_sent: float
    busiest_bytes_sent: float
    median_messages_sent: float
    busiest_messages_sent: float
    largest_message: int
    decision_core_seconds: float
    median_load_age: float
    known_loads_share: float
    known_demands_share: float


def measure_gossip(hosts: int, runners: int, has_demand: bool = True) -> GossipLoad:
    """Run a fleet of this size, its runners' loads and its accounts' demand."""
    domains = DOMAINS if hosts >= 4 * 2 else DOMAINS[:2]
    plan = NetworkPlan(domains, hosts // len(domains), regions=2)
    network = FakeNetwork(plan, seed=hosts)
    targets = {f"engine-{n}": domains[n % len(domains)] for n in range(runners)}
    _set_up(network, targets)
    _run(network, targets, WARM_UP_SECONDS, has_demand)
    for host in network.hosts.values():
        host.bytes_sent = host.messages_sent = 0
    begin = time.process_time()
    _run(network, targets, RUN_SECONDS, has_demand)
    core_seconds = (time.process_time() - begin) / RUN_SECONDS / len(network.hosts)
    sent = [h.bytes_sent / RUN_SECONDS for h in network.hosts.values()]
    messages = [h.messages_sent / RUN_SECONDS for h in network.hosts.values()]
    ages, share = _measure_ages(network, targets)
    return GossipLoad(
        hosts=len(network.hosts),
        median_bytes_sent=statistics.median(sent),
        busiest_bytes_sent=max(sent),
        median_messages_sent=statistics.median(messages),
        busiest_messages_sent=max(messages),
        largest_message=max(h.largest_message for h in network.hosts.values()),
        decision_core_seconds=core_seconds,
        median_load_age=statistics.median(ages or [0.0]),
        known_loads_share=share,
        known_demands_share=_measure_known_demands(network),
    )


def measure_member_bytes(members: int) -> int:
    """Return the memory of one host's view of this many others."""
    network = FakeNetwork(NetworkPlan(DOMAINS, max(members // 4, 1)), seed=members)
    listed = tuple(host.listed for host in network.hosts.values())
    source = next(iter(network.hosts.values()))

    def build() -> Membership:
        return _copy_view(source.membership, listed, network)

    return measure_kept_bytes(build)


def _copy_view(source: Membership, listed: tuple, network: FakeNetwork) -> Membership:
    """Build a view that has heard of all others, as a long-lived host has."""
    view = Membership(source.identity, source.failure_domain)
    view.handle(ListRead(listed), network.now)
    tell_all(view, network)
    return view


def tell_all(view: Membership, network: FakeNetwork) -> None:
    """Let a view hear of all hosts at once, with nothing left to pass on.

    A fleet that has just started is busy with news for minutes; what is measured
    here is one that has run for long.
    """
    lives = [host.membership.identity for host in network.hosts.values()]
    records = tuple(MemberRecord(i, 0, RecordState.ALIVE).pack() for i in lives)
    sender = next(i for i in lives if i != view.identity)
    message = Gossip(sender.incarnation, 0, 0, "a", 0, records=records)
    view.handle(GossipArrived(sender, message), network.now)
    for identity in lives:
        view.rumours.discard(identity.address)


def _set_up(network: FakeNetwork, targets: dict[str, str]) -> None:
    for host in network.hosts.values():
        domain = host.listed.failure_domain
        near = {name: home == domain for name, home in targets.items()}
        host.membership.loads.set_targets(near)
        accounts = [f"account-{n}" for n in range(ACCOUNTS_A_HOST)]
        host.membership.demands.set_accounts(accounts)
        tell_all(host.membership, network)


def _run(
    network: FakeNetwork, targets: dict[str, str], seconds: float, has_demand: bool
) -> None:
    hosts = len(network.hosts)
    interval = min(
        max(hosts * REPORT_SECONDS_A_HOST, MIN_REPORT_SECONDS), MAX_REPORT_SECONDS
    )
    step = min(interval, 0.5)
    begin = network.now
    while network.now - begin < seconds:
        for host in network.hosts.values():
            if network.rng.random() < step / interval:
                _report(host.membership, targets, network, has_demand)
        network.run(step)


def _report(
    membership: Membership,
    targets: dict[str, str],
    network: FakeNetwork,
    has_demand: bool,
) -> None:
    rates = {
        f"account-{n}": network.rng.uniform(0, 900) for n in range(ACCOUNTS_A_HOST)
    }
    if has_demand:
        membership.demands.set_own(rates, network.now)
    for name, domain in targets.items():
        if domain == membership.failure_domain and membership.is_watcher(name, domain):
            tokens = network.rng.randrange(1_000_000)
            membership.loads.record(LoadReport(name, tokens, tokens, 70, network.now))


def _measure_known_demands(network: FakeNetwork) -> float:
    """Return the mean share of its domain's hosts whose demand a host holds."""
    hosts = network.hosts.values()
    known = statistics.mean(h.membership.demands.known_hosts for h in hosts)
    return known / network.plan.hosts_per_domain


def _measure_ages(
    network: FakeNetwork, targets: dict[str, str]
) -> tuple[list[float], float]:
    ages, missing = [], 0
    for host in network.hosts.values():
        for name, domain in targets.items():
            if domain != host.listed.failure_domain:
                continue
            report = host.membership.loads.get(name)
            if report is None:
                missing += 1
            else:
                ages.append(network.now - report.reported_at)
    return ages, len(ages) / max(len(ages) + missing, 1)
