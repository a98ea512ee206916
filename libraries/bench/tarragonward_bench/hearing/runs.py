"""Randomised runs of the whole hearing: who asks the source, who is fed, how old.

`script/measure hearing.runs` prints calls, bytes and ages by size and seed.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonward_gateway.ports import Record
from tarragonward_placement.const import MAX_SINGLE_CELL_HOSTS

from .host import Fleet, Host, build_address
from .transfers import TARGET_BYTES, RecordSizes, Transfers
from .world import TABLE_KEY, FakeSource, Links, World

__all__ = [
    "GROWN_HELD_SECONDS",
    "GROWN_TABLE",
    "THIN_LINK_BYTES_A_SECOND",
    "HearingPlan",
    "HearingRun",
    "run_hearing",
    "run_hearing_seed",
]

Log = list[tuple[float, Record]]
Missed = tuple[float, str, int]

# Bounds for a host that was in touch for so long.
TOUCH_SECONDS = 3.0
HELD_SECONDS = 2.0
# Small fleets end a watch each so often that they are unsure for moments now and then.
CONFIRMED_SECONDS = 4.0
# A confirmed age leaves out the least delay of each hop, and is told in milliseconds.
CONFIRM_MARGIN_SECONDS = 0.1
CHECK_SECONDS = 0.1
START_SPREAD_SECONDS = 0.3
# 100 Mbit/s.
LINK_BYTES_A_SECOND = 12_500_000
START_SECONDS = 4.0
TARGETS_A_HOST = 1
SIZES = (9, 75, 320)
# Each so many seeds of the soak.
LARGE_EACH = 200
GROWN_EACH = 25
THIN_EACH = 10
# 10 Mbit/s, and a table of 2,849 routes: 605 KB, a seventh of it compressed, four
# thirds of it in the source's own form.
THIN_LINK_BYTES_A_SECOND = 1_250_000
GROWN_TABLE = RecordSizes(read_table=806_000, given_table=86_000)
GROWN_HELD_SECONDS = 3.0


@dataclass(frozen=True)
class HearingPlan:
    """What one run plays; seconds are those of the fake clock.

    is_settled: each host is told of all when it starts, as finding them takes long.
    is_isolating: nothing fails but domains whose readers can't reach the source.
    reads_a_second: the calls that the source takes of all hosts together.
    link_bytes_a_second: what a host's link carries each way; sizes: the records'.
    held_seconds: how late what is published may be held by a host in touch.
    """

    hosts: int
    seconds: float
    changes_a_second: float = 1.0
    has_faults: bool = True
    tells_a_second: float = 0.3
    start_seconds: float = START_SECONDS
    is_settled: bool = False
    is_isolating: bool = False
    targets_a_host: int = TARGETS_A_HOST
    reads_a_second: float = float("inf")
    link_bytes_a_second: float = LINK_BYTES_A_SECOND
    sizes: RecordSizes = RecordSizes()
    held_seconds: float = HELD_SECONDS


@dataclass(frozen=True)
class HearingRun:
    """What one run showed, after its start."""

    calls: int
    changes: int
    events: int
    bytes_a_host_second: float
    oldest_confirmed: float
    mean_confirmed: float
    slowest_heard: float
    start_calls: int = 0
    half_started: float = 0.0
    all_started: float = 0.0


def run_hearing_seed(seed: int) -> int:
    """Run one seed for the soak; return how many events it had."""
    return run_hearing(seed, _choose_plan(seed)).events


def _choose_plan(seed: int) -> HearingPlan:
    """Return a small fleet for most seeds, as a large one takes seconds."""
    if seed % LARGE_EACH == 0:
        return HearingPlan(320, 1.0, start_seconds=0.5, is_settled=True)
    if seed % GROWN_EACH == 0:
        return HearingPlan(75, 5.0, start_seconds=2.0)
    if seed % THIN_EACH == 0:
        return HearingPlan(
            9,
            12.0,
            start_seconds=3.0,
            link_bytes_a_second=THIN_LINK_BYTES_A_SECOND,
            sizes=GROWN_TABLE,
            held_seconds=GROWN_HELD_SECONDS,
        )
    return HearingPlan(9, 12.0, start_seconds=3.0)


def run_hearing(seed: int, plan: HearingPlan) -> HearingRun:
    """Run one seed; raise AssertionError where a host in touch hears too late."""
    return _Run(seed, plan).run()


class _Run:
    def __init__(self, seed: int, plan: HearingPlan) -> None:
        self._plan = plan
        self.world = World(seed)
        self.random = self.world.random
        self.source = FakeSource(self.world, plan.reads_a_second)
        self.links = Links()
        domains = 4 if plan.hosts >= SIZES[-1] else 3
        transfers = Transfers(self.world, plan.link_bytes_a_second)
        self.fleet = Fleet(
            self.world, self.source, self.links, domains, plan.sizes, transfers
        )
        self._disturbed_at = dict.fromkeys(range(plan.hosts), self.world.now)
        self._target = self._version = 0
        self._ages: list[float] = []
        self._slowest = 0.0
        self._started = 0.0, 0.0
        self._checked = 0

    def run(self) -> HearingRun:
        for _ in range(self._plan.hosts * self._plan.targets_a_host):
            self._publish_target()
        self._publish_table()
        for number in range(self._plan.hosts):
            start = self.random.uniform(0.0, START_SPREAD_SECONDS)
            self.world.after(start, lambda number=number: self._start(number))
        self._check_started(self.world.now)
        self.world.run(self.world.now + START_SPREAD_SECONDS)
        if self._plan.is_settled:
            for host in self.fleet.hosts.values():
                host.settle()
        self.world.run(self.world.now + self._plan.start_seconds)
        calls, changes = self.source.calls, len(self.source.log)
        sent, events = self.fleet.sent_bytes, self.world.events
        self._repeat(1.0 / self._plan.changes_a_second, self._change)
        self._repeat(CHECK_SECONDS, self._check, is_even=True)
        tells = self._plan.tells_a_second * self._plan.hosts
        if tells:
            self._repeat(1.0 / tells, lambda: self._pick_host().tell_now())
        if self._plan.has_faults:
            self._repeat(3.0, self._fail)
        self.world.run(self.world.now + self._plan.seconds)
        sent = self.fleet.sent_bytes - sent
        return HearingRun(
            self.source.calls - calls,
            len(self.source.log) - changes,
            self.world.events - events,
            sent / self._plan.seconds / self._plan.hosts,
            max(self._ages, default=0.0),
            sum(self._ages) / max(1, len(self._ages)),
            self._slowest,
            calls,
            *self._started,
        )

    def _check_started(self, begun_at: float) -> None:
        """Note when half of the hosts, and when all, had a table at first."""
        hosts = self.fleet.hosts.values()
        having = sum(host.version > 0 for host in hosts)
        half, whole = self._started
        seconds = self.world.now - begun_at
        if not half and having * 2 >= self._plan.hosts:
            half = seconds
        if having >= self._plan.hosts:
            whole = seconds
        self._started = half, whole
        if not whole:
            self.world.after(CHECK_SECONDS / 2, lambda: self._check_started(begun_at))

    def _repeat(
        self, mean: float, act: Callable[[], None], is_even: bool = False
    ) -> None:
        def again() -> None:
            act()
            self.world.after(mean if is_even else draw(), again)

        def draw() -> float:
            return min(self.random.expovariate(1.0 / mean), 5.0 * mean)

        self.world.after(draw(), again)

    def _start(self, number: int) -> None:
        old = self.fleet.hosts.get(build_address(number))
        if old is not None:
            old.is_dead = True
        self._disturb([number], self.world.now)
        self.fleet.hosts[build_address(number)] = Host(self.fleet, number)

    def _pick_host(self) -> Host:
        return self.random.choice(list(self.fleet.hosts.values()))

    # What is published.

    def _change(self) -> None:
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

    # What fails.

    def _fail(self) -> None:
        if self._plan.is_isolating:
            self._isolate_readers()
            return
        faults = (
            self._cut_domain,
            self._isolate_readers,
            self._cut_hosts,
            self._freeze,
            self._restart,
            self._refuse,
            self._refuse,
            self._drop_watches,
            self._take_down,
            self._compact,
            self._lose_datagrams,
        )
        self.random.choice(faults)()

    def _draw_hosts(self) -> list[int]:
        """Return some hosts: few, neighbours in a cell, or a large share."""
        count = self._plan.hosts
        share = self.random.choice((1 / count, 0.1, 0.3, 0.6))
        drawn = self.random.sample(range(count), max(1, round(share * count)))
        mates = self._pick_host().members.get_cell_peers()
        if mates and self.random.random() < 0.3:
            own = [self.fleet.hosts[mate].number for mate in mates]
            return own[: self.random.randint(1, len(own))]
        return drawn

    def _disturb(self, numbers: Iterable[int], until: float) -> None:
        for number in numbers:
            self._disturbed_at[number] = max(self._disturbed_at[number], until)

    def _cut_domain(self, has_source: bool = False) -> None:
        if self.links.side:
            return
        domain = self.random.randrange(self.fleet.domains)
        domains = self.fleet.domains
        side = frozenset(n for n in self._disturbed_at if n % domains == domain)
        self.links.side = side
        ends = self.random.uniform(0.5, 8.0)
        self.links.has_source = has_source or self.random.random() < 0.5
        if not self.links.has_source:
            self._disturb(side, self.world.now + ends)

        def heal() -> None:
            self.links.side = frozenset()

        self.world.after(ends, heal)

    def _isolate_readers(self) -> None:
        """Cut a domain off the others, and its readers from the source."""
        self._cut_domain(has_source=True)
        muted = {
            host.number
            for host in self.fleet.hosts.values()
            if host.number in self.links.side and host.place.standby_rank is None
        }
        ends = self.random.uniform(2.0, 8.0)
        self.source.muted |= muted
        self._disturb(muted, self.world.now + ends)
        self.world.after(ends, lambda: self.source.muted.difference_update(muted))

    def _cut_hosts(self) -> None:
        numbers, ends = self._draw_hosts(), self.random.uniform(0.3, 4.0)
        self.links.alone.update(numbers)
        self._disturb(numbers, self.world.now + ends)
        self.world.after(ends, lambda: self.links.alone.difference_update(numbers))

    def _freeze(self) -> None:
        ends = self.world.now + self.random.uniform(0.3, 4.0)
        numbers = self._draw_hosts()
        for number in numbers:
            self.fleet.hosts[build_address(number)].freeze(ends)
        self._disturb(numbers, ends)

    def _restart(self) -> None:
        is_beside_dead_source = self.random.random() < 0.3
        if is_beside_dead_source:
            self._take_down()
        for number in self._draw_hosts():
            self._start(number)

    def _refuse(self) -> None:
        numbers, ends = self._draw_hosts(), self.random.uniform(1.0, 6.0)
        chosen = self.random.choice((self.source.refused, self.source.muted))
        chosen.update(numbers)
        self._disturb(numbers, self.world.now + ends)
        self.world.after(ends, lambda: chosen.difference_update(numbers))

    def _drop_watches(self) -> None:
        numbers = self._draw_hosts()
        for number in numbers:
            self.source.drop_watches(number)
        self._disturb(numbers, self.world.now)

    def _take_down(self) -> None:
        self.source.is_down = True
        ends = self.random.uniform(0.5, 5.0)
        self._disturb(self._disturbed_at, self.world.now + ends)

        def bring_back() -> None:
            self.source.is_down = False

        self.world.after(ends, bring_back)

    def _compact(self) -> None:
        self.source.drop_history()

    def _lose_datagrams(self) -> None:
        self.links.loss = self.random.choice((0.0, 0.02, 0.1))

    # What must hold.

    def _check(self) -> None:
        log, now = self.source.log, self.world.now
        for host in self.fleet.hosts.values():
            since = now - self._disturbed_at[host.number]
            if since < TOUCH_SECONDS:
                continue
            self._check_confirmed(host, log, now)
            age = now - host.confirmed_at
            self._ages.append(age)
            is_sure = (
                age <= CONFIRMED_SECONDS or self._plan.hosts <= MAX_SINGLE_CELL_HOSTS
            )
            assert is_sure, f"{self._name(host)}: confirmed {age} ago at {now}"
            missed = self._find_missed(host, log, now - self._plan.held_seconds)
            assert missed is None, f"{self._name(host)}: lacks {missed} at {now}"
            lacking = self._find_missed(host, log, now)
            if lacking is not None:
                self._slowest = max(self._slowest, now - lacking[0])

    def _check_confirmed(self, host: Host, log: Log, now: float) -> None:
        missed = self._find_missed(
            host, log, host.confirmed_at - CONFIRM_MARGIN_SECONDS
        )
        assert missed is None, (
            f"{self._name(host)}: confirmed without {missed} at {now}"
        )

    def _find_missed(self, host: Host, log: Log, until: float) -> Missed | None:
        """Return the first change until a time that the host lacks."""
        missed = None
        for at, record in reversed(log):
            if record.revision <= host.record_store.complete_revision:
                break
            if at <= until and record.revision > host.record_store.latest_revision:
                missed = at, record.key, record.revision
        return missed

    def _name(self, host: Host) -> str:
        return f"host {host.number} of {self._plan.hosts}"


def main() -> None:
    """Print a row for each size and seed."""
    parser = argparse.ArgumentParser(
        prog="script/measure hearing.runs", description=__doc__
    )
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--start", type=float, default=START_SECONDS, help="seconds")
    parser.add_argument("--changes", type=float, default=1.0, help="a second")
    parser.add_argument("--targets", type=int, default=TARGETS_A_HOST, help="a host")
    parser.add_argument("--reads", type=float, default=float("inf"), help="a second")
    parser.add_argument("--link", type=float, default=LINK_BYTES_A_SECOND)
    parser.add_argument("--read-table", type=int, default=TARGET_BYTES, help="bytes")
    parser.add_argument("--given-table", type=int, default=TARGET_BYTES, help="bytes")
    parser.add_argument("--held", type=float, default=HELD_SECONDS, help="seconds")
    parser.add_argument("--quiet", action="store_true", help="no faults")
    options = parser.parse_args()
    print(
        "hosts seed calls/s changes calls/change B/s  age: mean oldest  slowest s",
        end="",
    )
    print("  start: calls half all s")
    for hosts in options.sizes:
        plan = HearingPlan(
            hosts,
            options.seconds,
            options.changes,
            not options.quiet,
            start_seconds=options.start,
            targets_a_host=options.targets,
            reads_a_second=options.reads,
            link_bytes_a_second=options.link,
            sizes=RecordSizes(options.read_table, options.given_table),
            held_seconds=options.held,
        )
        for seed in range(options.seed, options.seed + options.seeds):
            run = run_hearing(seed, plan)
            print(
                f"{hosts:5d} {seed:4d} {run.calls / options.seconds:7.1f} "
                f"{run.changes:7d} {run.calls / max(1, run.changes):12.1f} "
                f"{run.bytes_a_host_second:6.0f} {run.mean_confirmed:9.2f} "
                f"{run.oldest_confirmed:6.2f} {run.slowest_heard:7.2f}"
                f" {run.start_calls:7d} {run.half_started:5.2f} {run.all_started:5.2f}"
            )


if __name__ == "__main__":
    main()
