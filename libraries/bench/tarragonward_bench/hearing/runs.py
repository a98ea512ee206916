"""Randomised runs of the propagation of published records from the source to all hosts.

`script/measure hearing.runs` prints calls, bytes and ages by fleet size and seed.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonward_placement.const import MAX_SINGLE_CELL_HOSTS

from .checks import Log, find_missed_change, find_version, find_wrong_key
from .host import Fleet, Host, build_address
from .transfers import TARGET_RECORD_BYTES, RecordSizes, Transfers
from .world import TABLE_KEY, FakeSource, Links, World

__all__ = [
    "LARGE_TABLE_MAX_DELAY_SECONDS",
    "LARGE_TABLE",
    "SLOW_LINK_BYTES_PER_SECOND",
    "PropagationPlan",
    "PropagationResult",
    "run_propagation",
    "run_propagation_seed",
]

# The bounds hold for hosts that have been connected for at least this long.
MIN_CONNECTED_SECONDS = 3.0
MAX_DELAY_SECONDS = 2.0
# Not checked in single-cell fleets: there each host ends its watch so often that the
# confirmed age exceeds the bound for moments.
MAX_CONFIRMED_AGE_SECONDS = 4.0
# A confirmed age omits the minimum delay of each hop and is sent in milliseconds.
CONFIRMED_AGE_TOLERANCE_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.1
# Within this time lost changes are written again, and entries of ended targets expire.
REWRITE_SECONDS = 1.5
EXPIRY_SECONDS = 3.6
START_SPREAD_SECONDS = 0.3
# 100 Mbit/s.
LINK_BYTES_PER_SECOND = 12_500_000
START_SECONDS = 4.0
TARGETS_PER_HOST = 1
FLEET_SIZES = (9, 75, 320)
# Every n-th seed of the soak uses this kind of fleet.
LARGE_FLEET_SEED_STEP = 200
MEDIUM_FLEET_SEED_STEP = 25
SLOW_LINK_SEED_STEP = 10
# 10 Mbit/s, and a table of 2,849 routes: 605 KB, a seventh of that when compressed
# for peers, four thirds of it in the source's encoding.
SLOW_LINK_BYTES_PER_SECOND = 1_250_000
LARGE_TABLE = RecordSizes(source_table_bytes=806_000, peer_table_bytes=86_000)
LARGE_TABLE_MAX_DELAY_SECONDS = 3.0


@dataclass(frozen=True)
class PropagationPlan:
    """The settings of one run; seconds are simulated time.

    is_settled: all hosts know each other at the start, as discovery takes long.
    isolates_pollers: the only faults are domains whose polling hosts get no answers
    from the source.
    max_reads_per_second: the calls that the source serves, of all hosts together.
    link_bytes_per_second: the capacity of a host's link in each direction.
    sizes: the sizes of records.
    max_delay_seconds: the bound on the delay of a change at a connected host.
    restores_source: the source also comes back from older copies.
    """

    hosts: int
    seconds: float
    changes_per_second: float = 1.0
    has_faults: bool = True
    notifications_per_second: float = 0.3
    start_seconds: float = START_SECONDS
    is_settled: bool = False
    isolates_pollers: bool = False
    targets_per_host: int = TARGETS_PER_HOST
    max_reads_per_second: float = float("inf")
    link_bytes_per_second: float = LINK_BYTES_PER_SECOND
    sizes: RecordSizes = RecordSizes()
    max_delay_seconds: float = MAX_DELAY_SECONDS
    restores_source: bool = False


@dataclass(frozen=True)
class PropagationResult:
    """The results of one run; start_calls and *_started_seconds are of its start."""

    calls: int
    changes: int
    events: int
    bytes_per_host_second: float
    max_confirmed_age: float
    mean_confirmed_age: float
    max_delay_observed: float
    start_calls: int = 0
    half_started_seconds: float = 0.0
    all_started_seconds: float = 0.0


def run_propagation_seed(seed: int) -> int:
    """Run one seed for the soak test; return the number of simulated events."""
    return run_propagation(seed, _choose_plan(seed)).events


def _choose_plan(seed: int) -> PropagationPlan:
    """Return a small fleet for most seeds, as a large one takes seconds to run."""
    if seed % LARGE_FLEET_SEED_STEP == 0:
        return PropagationPlan(320, 1.0, start_seconds=0.5, is_settled=True)
    if seed % MEDIUM_FLEET_SEED_STEP == 0:
        return PropagationPlan(75, 5.0, start_seconds=2.0)
    if seed % SLOW_LINK_SEED_STEP == 0:
        return PropagationPlan(
            9,
            12.0,
            start_seconds=3.0,
            link_bytes_per_second=SLOW_LINK_BYTES_PER_SECOND,
            sizes=LARGE_TABLE,
            max_delay_seconds=LARGE_TABLE_MAX_DELAY_SECONDS,
        )
    return PropagationPlan(9, 12.0, start_seconds=3.0)


def run_propagation(seed: int, plan: PropagationPlan) -> PropagationResult:
    """Run one seed; raise AssertionError if a connected host gets a change too late."""
    return _Run(seed, plan).run()


class _Run:
    def __init__(self, seed: int, plan: PropagationPlan) -> None:
        self._plan = plan
        self.world = World(seed)
        self.random = self.world.random
        self.source = FakeSource(self.world, plan.max_reads_per_second)
        self.links = Links()
        domains = 4 if plan.hosts >= FLEET_SIZES[-1] else 3
        transfers = Transfers(self.world, plan.link_bytes_per_second)
        self.fleet = Fleet(
            self.world, self.source, self.links, domains, plan.sizes, transfers
        )
        self._disturbed_until = dict.fromkeys(range(plan.hosts), self.world.now)
        self._target = self._version = 0
        self._confirmed_ages: list[float] = []
        self._max_delay = 0.0
        self._started_seconds = 0.0, 0.0
        self._checked = 0

    def run(self) -> PropagationResult:
        for _ in range(self._plan.hosts * self._plan.targets_per_host):
            self._publish_target()
        self._publish_table()
        for number in range(self._plan.hosts):
            start = self.random.uniform(0.0, START_SPREAD_SECONDS)
            self.world.schedule_after(start, lambda number=number: self._start(number))
        self._check_started(self.world.now)
        self.world.run(self.world.now + START_SPREAD_SECONDS)
        if self._plan.is_settled:
            for host in self.fleet.hosts.values():
                host.learn_all_hosts()
        self.world.run(self.world.now + self._plan.start_seconds)
        calls, changes = self.source.calls, len(self.source.log)
        sent, events = self.fleet.sent_bytes, self.world.events
        self._repeat(1.0 / self._plan.changes_per_second, self._publish_change)
        self._repeat(CHECK_INTERVAL_SECONDS, self._check, is_regular=True)
        notifications = self._plan.notifications_per_second * self._plan.hosts
        if notifications:
            self._repeat(1.0 / notifications, lambda: self._select_host().send_now())
        if self._plan.has_faults:
            self._repeat(3.0, self._inject_fault)
        self.world.run(self.world.now + self._plan.seconds)
        sent = self.fleet.sent_bytes - sent
        return PropagationResult(
            self.source.calls - calls,
            len(self.source.log) - changes,
            self.world.events - events,
            sent / self._plan.seconds / self._plan.hosts,
            max(self._confirmed_ages, default=0.0),
            sum(self._confirmed_ages) / max(1, len(self._confirmed_ages)),
            self._max_delay,
            calls,
            *self._started_seconds,
        )

    def _check_started(self, began_at: float) -> None:
        """Record when half of the hosts, and when all, first had a table."""
        hosts = self.fleet.hosts.values()
        started = sum(host.version > 0 for host in hosts)
        half_seconds, all_seconds = self._started_seconds
        seconds = self.world.now - began_at
        if not half_seconds and started * 2 >= self._plan.hosts:
            half_seconds = seconds
        if started >= self._plan.hosts:
            all_seconds = seconds
        self._started_seconds = half_seconds, all_seconds
        if not all_seconds:
            self.world.schedule_after(
                CHECK_INTERVAL_SECONDS / 2, lambda: self._check_started(began_at)
            )

    def _repeat(
        self, mean: float, action: Callable[[], None], is_regular: bool = False
    ) -> None:
        def repeat() -> None:
            action()
            self.world.schedule_after(mean if is_regular else sample_interval(), repeat)

        def sample_interval() -> float:
            return min(self.random.expovariate(1.0 / mean), 5.0 * mean)

        self.world.schedule_after(sample_interval(), repeat)

    def _start(self, number: int) -> None:
        old = self.fleet.hosts.get(build_address(number))
        if old is not None:
            old.is_dead = True
        self._disturb([number], self.world.now)
        self.fleet.hosts[build_address(number)] = Host(self.fleet, number)

    def _select_host(self) -> Host:
        return self.random.choice(list(self.fleet.hosts.values()))

    # Publications.

    def _publish_change(self) -> None:
        kind = self.random.random()
        if kind < 0.2:
            self._publish_table()
        elif kind < 0.5:
            self._publish_target()
        else:
            self.source.put(f"t/{self.random.randrange(self._target)}", None)

    def _publish_target(self) -> None:
        self.source.put(f"t/{self._target}", b"ready")
        self._target += 1

    def _publish_table(self) -> None:
        self._version += self.random.randint(1, 3)
        self.source.put(TABLE_KEY, str(self._version).encode())

    # Faults.

    def _inject_fault(self) -> None:
        if self._plan.isolates_pollers:
            self._isolate_pollers()
            return
        faults = (
            self._partition_domain,
            self._isolate_pollers,
            self._isolate_hosts,
            self._pause_hosts,
            self._restart_hosts,
            self._refuse_hosts,
            self._refuse_hosts,
            self._drop_watches,
            self._take_source_down,
            self._compact_history,
            self._lose_datagrams,
        )
        if self._plan.restores_source:
            faults += (self._restore_source,) * (len(faults) // 2)
        self.random.choice(faults)()

    def _restore_source(self) -> None:
        """Take the source away, and bring it back from a copy some seconds old."""
        if self.source.is_down:
            return
        self.source.is_down = True
        away = self.random.uniform(0.1, 2.0)
        copied_at = self.world.now - self.random.uniform(0.2, 5.0)
        self._disturb(self._disturbed_until, self.world.now + away)

        def restore() -> None:
            self.source.is_down = False
            lost = self.source.restore_copy(copied_at)
            for key, value in lost.items():
                self._write_again(key, value)

        self.world.schedule_after(away, restore)

    def _write_again(self, key: str, value: bytes | None) -> None:
        """Let the writer of a lost change write it again; lost withdrawals expire."""
        delay = self.random.uniform(0.0, REWRITE_SECONDS)
        if value is None:
            delay = EXPIRY_SECONDS

        def write() -> None:
            if key == TABLE_KEY:
                self.source.put(key, str(self._version).encode())
            elif value is not None or self.source.has(key):
                self.source.put(key, value)

        self.world.schedule_after(delay, write)

    def _select_hosts(self) -> list[int]:
        """Return some hosts: a few, peers of one cell, or a large share."""
        count = self._plan.hosts
        share = self.random.choice((1 / count, 0.1, 0.3, 0.6))
        selected = self.random.sample(range(count), max(1, round(share * count)))
        cell_peers = self._select_host().members.get_cell_peers()
        if cell_peers and self.random.random() < 0.3:
            peers = [self.fleet.hosts[peer].number for peer in cell_peers]
            return peers[: self.random.randint(1, len(peers))]
        return selected

    def _disturb(self, numbers: Iterable[int], until: float) -> None:
        for number in numbers:
            self._disturbed_until[number] = max(self._disturbed_until[number], until)

    def _partition_domain(self, partition_reaches_source: bool = False) -> None:
        if self.links.partition:
            return
        domain = self.random.randrange(self.fleet.domains)
        domains = self.fleet.domains
        partition = frozenset(n for n in self._disturbed_until if n % domains == domain)
        self.links.partition = partition
        duration = self.random.uniform(0.5, 8.0)
        self.links.partition_reaches_source = (
            partition_reaches_source or self.random.random() < 0.5
        )
        if not self.links.partition_reaches_source:
            self._disturb(partition, self.world.now + duration)

        def restore() -> None:
            self.links.partition = frozenset()

        self.world.schedule_after(duration, restore)

    def _isolate_pollers(self) -> None:
        """Partition a domain from the others, and its polling hosts from the source."""
        self._partition_domain(partition_reaches_source=True)
        silent = {
            host.number
            for host in self.fleet.hosts.values()
            if host.number in self.links.partition
            and host.polling_order.standby_rank is None
        }
        duration = self.random.uniform(2.0, 8.0)
        self.source.silent_hosts |= silent
        self._disturb(silent, self.world.now + duration)
        self.world.schedule_after(
            duration, lambda: self.source.silent_hosts.difference_update(silent)
        )

    def _isolate_hosts(self) -> None:
        numbers, duration = self._select_hosts(), self.random.uniform(0.3, 4.0)
        self.links.isolated_hosts.update(numbers)
        self._disturb(numbers, self.world.now + duration)
        self.world.schedule_after(
            duration, lambda: self.links.isolated_hosts.difference_update(numbers)
        )

    def _pause_hosts(self) -> None:
        paused_until = self.world.now + self.random.uniform(0.3, 4.0)
        numbers = self._select_hosts()
        for number in numbers:
            self.fleet.hosts[build_address(number)].pause(paused_until)
        self._disturb(numbers, paused_until)

    def _restart_hosts(self) -> None:
        is_with_source_down = self.random.random() < 0.3
        if is_with_source_down:
            self._take_source_down()
        for number in self._select_hosts():
            self._start(number)

    def _refuse_hosts(self) -> None:
        numbers, duration = self._select_hosts(), self.random.uniform(1.0, 6.0)
        chosen = self.random.choice(
            (self.source.refused_hosts, self.source.silent_hosts)
        )
        chosen.update(numbers)
        self._disturb(numbers, self.world.now + duration)
        self.world.schedule_after(duration, lambda: chosen.difference_update(numbers))

    def _drop_watches(self) -> None:
        numbers = self._select_hosts()
        for number in numbers:
            self.source.drop_watches(number)
        self._disturb(numbers, self.world.now)

    def _take_source_down(self) -> None:
        self.source.is_down = True
        duration = self.random.uniform(0.5, 5.0)
        self._disturb(self._disturbed_until, self.world.now + duration)

        def restore_source() -> None:
            self.source.is_down = False

        self.world.schedule_after(duration, restore_source)

    def _compact_history(self) -> None:
        self.source.compact_history()

    def _lose_datagrams(self) -> None:
        self.links.loss = self.random.choice((0.0, 0.02, 0.1))

    # Checks.

    def _check(self) -> None:
        log, now = self.source.log, self.world.now
        for host in self.fleet.hosts.values():
            connected_seconds = now - self._disturbed_until[host.number]
            if connected_seconds < MIN_CONNECTED_SECONDS:
                continue
            self._check_confirmed(host, log, now)
            age = now - host.confirmed_at
            self._confirmed_ages.append(age)
            is_confirmed = (
                age <= MAX_CONFIRMED_AGE_SECONDS
                or self._plan.hosts <= MAX_SINGLE_CELL_HOSTS
            )
            assert is_confirmed, f"{self._describe(host)}: confirmed {age} ago at {now}"
            missed = find_missed_change(host, log, now - self._plan.max_delay_seconds)
            assert missed is None, f"{self._describe(host)}: lacks {missed} at {now}"
            due_version = find_version(log, now - self._plan.max_delay_seconds)
            assert host.version >= due_version, (
                f"{self._describe(host)}: lacks table {due_version} at {now}"
            )
            if self._plan.restores_source:
                key = find_wrong_key(host, log, now - self._plan.max_delay_seconds)
                assert key is None, f"{self._describe(host)}: {key} differs at {now}"
            unapplied = find_missed_change(host, log, now)
            if unapplied is not None:
                self._max_delay = max(self._max_delay, now - unapplied[0])

    def _check_confirmed(self, host: Host, log: Log, now: float) -> None:
        missed = find_missed_change(
            host, log, host.confirmed_at - CONFIRMED_AGE_TOLERANCE_SECONDS
        )
        assert missed is None, (
            f"{self._describe(host)}: confirmed without {missed} at {now}"
        )

    def _describe(self, host: Host) -> str:
        return f"host {host.number} of {self._plan.hosts}"


def main() -> None:
    """Print a row for each fleet size and seed."""
    parser = argparse.ArgumentParser(
        prog="script/measure hearing.runs", description=__doc__
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=FLEET_SIZES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--start", type=float, default=START_SECONDS, help="seconds")
    parser.add_argument("--changes", type=float, default=1.0, help="per second")
    parser.add_argument(
        "--targets", type=int, default=TARGETS_PER_HOST, help="per host"
    )
    parser.add_argument("--reads", type=float, default=float("inf"), help="per second")
    parser.add_argument("--link", type=float, default=LINK_BYTES_PER_SECOND)
    parser.add_argument(
        "--read-table", type=int, default=TARGET_RECORD_BYTES, help="bytes"
    )
    parser.add_argument(
        "--given-table", type=int, default=TARGET_RECORD_BYTES, help="bytes"
    )
    parser.add_argument("--held", type=float, default=MAX_DELAY_SECONDS, help="seconds")
    parser.add_argument("--quiet", action="store_true", help="no faults")
    options = parser.parse_args()
    print(
        "hosts seed calls/s changes calls/change B/s  age: mean oldest  slowest s",
        end="",
    )
    print("  start: calls half all s")
    for hosts in options.sizes:
        plan = PropagationPlan(
            hosts,
            options.seconds,
            options.changes,
            not options.quiet,
            start_seconds=options.start,
            targets_per_host=options.targets,
            max_reads_per_second=options.reads,
            link_bytes_per_second=options.link,
            sizes=RecordSizes(options.read_table, options.given_table),
            max_delay_seconds=options.held,
        )
        for seed in range(options.seed, options.seed + options.seeds):
            run = run_propagation(seed, plan)
            print(
                f"{hosts:5d} {seed:4d} {run.calls / options.seconds:7.1f} "
                f"{run.changes:7d} {run.calls / max(1, run.changes):12.1f} "
                f"{run.bytes_per_host_second:6.0f} {run.mean_confirmed_age:9.2f} "
                f"{run.max_confirmed_age:6.2f} {run.max_delay_observed:7.2f}"
                f" {run.start_calls:7d} {run.half_started_seconds:5.2f} "
                f"{run.all_started_seconds:5.2f}"
            )


if __name__ == "__main__":
    main()
