"""Measure on the fake network how long a large fleet takes to agree after faults."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from absl import logging

from ..membership_network import FakeHost, FakeNetwork, NetworkPlan
from .fleet import tell_all

__all__ = ["main"]

STEP_SECONDS = 4.0
SETTLE_SECONDS = 20.0
CUT_SECONDS = 60.0
LIMIT_SECONDS = 400.0
DEAD_HOSTS = 16
RACK_HOSTS = 10


def main() -> int:
    """Run one case at a number of hosts and print the seconds until views agree."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=320)
    parser.add_argument("--case", choices=sorted(CASES), required=True)
    options = parser.parse_args()
    logging.set_verbosity(logging.FATAL)
    plan = NetworkPlan(tuple("abcd"), options.hosts // 4, regions=2)
    network = FakeNetwork(plan, seed=1)
    for host in network.hosts.values():
        tell_all(host.membership, network)
    network.run(SETTLE_SECONDS)
    before = sum(host.bytes_sent for host in network.hosts.values())
    CASES[options.case](network)
    begin = network.now
    seconds = _wait_until_agreed(network)
    sent = sum(host.bytes_sent for host in network.hosts.values()) - before
    rate = sent / len(network.hosts) / (network.now - begin)
    print(f"case={options.case} hosts={options.hosts} {seconds} sent_per_s={rate:.0f}")
    return 0


def _wait_until_agreed(network: FakeNetwork) -> str:
    begin = network.now
    while (wrong := network.find_disagreement()) is not None:
        if network.now - begin > LIMIT_SECONDS:
            return f"not agreed after {LIMIT_SECONDS:.0f} s: {wrong}"
        network.run(STEP_SECONDS)
    return f"agreed_after={network.now - begin:.0f}"


def _kill_some(network: FakeNetwork) -> None:
    hosts = list(network.hosts.values())
    for host in network.rng.sample(hosts, DEAD_HOSTS):
        network.kill(host)


def _kill_rack(network: FakeNetwork) -> None:
    for host in list(network.hosts.values())[:RACK_HOSTS]:
        network.kill(host)


def _return_domain(network: FakeNetwork) -> None:
    lost = [h for h in network.hosts.values() if h.listed.failure_domain == "a"]
    for host in lost:
        network.kill(host)
    network.run(CUT_SECONDS)
    for host in lost:
        network.start(host)


def _cut(network: FakeNetwork, is_lost: Callable[[FakeHost], bool]) -> None:
    hosts = list(network.hosts.values())
    ones = [host for host in hosts if is_lost(host)]
    others = [host for host in hosts if not is_lost(host)]
    network.cut(ones, others)
    network.cut(others, ones)
    network.run(CUT_SECONDS)
    network.heal()


CASES: dict[str, Callable[[FakeNetwork], None]] = {
    "16-dead": _kill_some,
    "rack": _kill_rack,
    "domain-cut": lambda network: _cut(
        network, lambda host: host.listed.failure_domain == "a"
    ),
    "domain-returns": _return_domain,
    "region-cut": lambda network: _cut(
        network, lambda host: host.listed.region == "region-0"
    ),
}


if __name__ == "__main__":
    sys.exit(main())
