"""Runs in which a host's watch goes silent before targets are withdrawn.

`script/measure hearing.silent_watch` prints for how long after their withdrawal each
way of choosing the linger uses the targets, by fleet size.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass

from tarragonward_gateway import const as gateway_const
from tarragonward_gateway.withdrawals import SourceView, choose_linger

from .host import Fleet, Host, build_address
from .transfers import RecordSizes, Transfers
from .world import TABLE_KEY, FakeSource, Links, World

__all__ = ["HeardWithdrawal", "compute_use_seconds", "run_silent_watch"]

START_SPREAD_SECONDS = 0.3
START_SECONDS = 6.0
LINK_BYTES_PER_SECOND = 12_500_000
READS_PER_SECOND = 16_000.0
TARGETS_PER_DOMAIN = 3
# A domain's part of the targets is withdrawn at once.
DOMAINS = 3
WATCH_SECONDS = 0.4
# Until the host counts as undisturbed, and up to a round of gossip and watches more.
MIN_SILENT_SECONDS = 3.1
MAX_SILENT_SECONDS = 4.4
STEP_SECONDS = 0.005
GIVEN_UP_SECONDS = 10.0
DRAIN_SECONDS = 2.0
LINGER_SECONDS = gateway_const.GUESSED_LINGER_SHARE * DRAIN_SECONDS
# Within this a peer has reported a change to all others.
REPORT_SECONDS = 0.25


@dataclass(frozen=True)
class HeardWithdrawal:
    """When a host heard of a withdrawal; ages in seconds.

    heard_age: since the withdrawal. confirmed_age: since the host's records were last
    confirmed, before it heard.
    """

    heard_age: float
    confirmed_age: float


def run_silent_watch(seed: int, hosts: int) -> HeardWithdrawal:
    """Let the watch of a polling host go silent, and withdraw a domain's targets."""
    world = World(seed)
    source, links = FakeSource(world, READS_PER_SECOND), Links()
    transfers = Transfers(world, LINK_BYTES_PER_SECOND)
    fleet = Fleet(world, source, links, DOMAINS, RecordSizes(), transfers)
    names = [f"t/{number}" for number in range(DOMAINS * TARGETS_PER_DOMAIN)]
    for name in names:
        source.put(name, b"ready")
    source.put(TABLE_KEY, b"1")
    for number in range(hosts):
        _schedule_start(fleet, number)
    world.run(world.now + START_SPREAD_SECONDS)
    for host in fleet.hosts.values():
        host.learn_all_hosts()
    world.run(world.now + START_SECONDS)
    # All watches begin anew; that of the last host lasts longest.
    source.put(TABLE_KEY, b"2")
    world.run(world.now + WATCH_SECONDS)
    polling = [h for h in fleet.hosts.values() if h.polling_order.standby_rank is None]
    chosen = max(polling, key=lambda host: host.polling_order.rank)
    source.drop_watches(chosen.number)
    silent = world.random.uniform(MIN_SILENT_SECONDS, MAX_SILENT_SECONDS)
    world.run(world.now + silent)
    withdrawn = names[:TARGETS_PER_DOMAIN]
    for name in withdrawn:
        source.put(name, None)
    return _wait_until_heard(world, chosen, source.revision)


def _schedule_start(fleet: Fleet, number: int) -> None:
    def start() -> None:
        fleet.hosts[build_address(number)] = Host(fleet, number)

    world = fleet.world
    world.schedule_after(world.random.uniform(0.0, START_SPREAD_SECONDS), start)


def _wait_until_heard(world: World, host: Host, revision: int) -> HeardWithdrawal:
    withdrawn_at = world.now
    while host.record_store.latest_revision < revision:
        confirmed_at = host.confirmed_at
        world.run(world.now + STEP_SECONDS)
        assert world.now - withdrawn_at < GIVEN_UP_SECONDS, "never heard"
    return HeardWithdrawal(world.now - withdrawn_at, world.now - confirmed_at)


def compute_use_seconds(heard: HeardWithdrawal) -> float:
    """Return how long after their withdrawal the host uses the targets."""
    view = SourceView(heard.confirmed_age)
    ready = DOMAINS * TARGETS_PER_DOMAIN
    linger = choose_linger(view, DRAIN_SECONDS, TARGETS_PER_DOMAIN, ready)
    return heard.heard_age + (linger.seconds if linger is not None else 0.0)


# How long a target is used that was withdrawn: what the product does, and other ways.
WAYS: dict[str, Callable[[HeardWithdrawal], float]] = {
    "product": compute_use_seconds,
    "part from hearing": lambda heard: heard.heard_age + LINGER_SECONDS,
    "part from the first report": lambda heard: max(
        heard.heard_age, min(heard.heard_age, REPORT_SECONDS) + LINGER_SECONDS
    ),
    "no linger": lambda heard: heard.heard_age,
}


def main() -> None:
    """Print the longest and mean use of each way by fleet size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", type=int, nargs="+", default=[3, 9, 40, 195])
    parser.add_argument("--seeds", type=int, default=30)
    options = parser.parse_args()
    print("hosts seeds way mean longest over")
    for hosts in options.sizes:
        runs = [run_silent_watch(seed, hosts) for seed in range(1, options.seeds + 1)]
        for name, compute in WAYS.items():
            used = [compute(run) for run in runs]
            mean, over = sum(used) / len(used), sum(u > DRAIN_SECONDS for u in used)
            print(f"{hosts} {len(runs)} {name}: {mean:.2f} {max(used):.2f} {over}")


if __name__ == "__main__":
    main()
