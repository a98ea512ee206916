"""Measure seed-based membership at several fleet sizes: `script/measure seeds`."""

from __future__ import annotations

import argparse
import random
import time
import tracemalloc
from dataclasses import dataclass

import msgpack

from tarragonward_core import Address, HostIdentity
from tarragonward_membership import (
    Hello,
    HelloReceived,
    RoundDue,
    SeedEffect,
    SeedMembership,
    SendHello,
)

__all__ = ["SeedSize", "measure_size"]

PORT = 7_340
SEEDS = 3
DOMAINS = 4
ROUND_SECONDS = 0.2
DEFAULT_SIZES = (9, 40, 83, 160, 320)
MICROSECONDS = 1_000_000
KILOBYTE = 1_000
# Bytes of a hello for the format version, the publications section and the outer map.
FRAME_BYTES = 45


@dataclass(frozen=True)
class SeedSize:
    """Mean cost per host at a fleet size; bytes and messages are those sent."""

    hosts: int
    bytes_per_second: float
    cross_domain_bytes_per_second: float
    messages_per_second: float
    cpu_microseconds_per_second: float
    memory_bytes: float
    known_share: float
    mean_age_seconds: float


class _Fleet:
    def __init__(self, hosts: int, sections_bytes: int) -> None:
        self.now = 100.0
        self._overhead = FRAME_BYTES + sections_bytes
        rng = random.Random(hosts)
        seeds = [_get_address(number) for number in range(SEEDS)]
        self.hosts = {
            _get_address(number): SeedMembership(
                HostIdentity(_get_address(number), rng.getrandbits(48)),
                f"front-zone-{number:03d}",
                f"zone-{number % DOMAINS}",
                seeds,
                random.Random(rng.random()),
                self.now,
            )
            for number in range(hosts)
        }
        self._last_sizes = dict.fromkeys(self.hosts, 300)
        self.clear()

    def clear(self) -> None:
        self.bytes = self.cross_domain_bytes = self.messages = 0

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND_SECONDS
            for address, host in self.hosts.items():
                event = RoundDue(self._last_sizes[address])
                self._deliver(address, host.handle(event, self.now))

    def _deliver(self, sender: Address, effects: list[SeedEffect]) -> None:
        targets = [a for e in effects if isinstance(e, SendHello) for a in e.addresses]
        if not targets:
            return
        packed = msgpack.packb(self.hosts[sender].build_hello(self.now).pack())
        self._last_sizes[sender] = size = len(packed) + self._overhead
        self.messages += len(targets)
        self.bytes += size * len(targets)
        for target in targets:
            is_cross_domain = (target.port - sender.port) % DOMAINS != 0
            self.cross_domain_bytes += size * is_cross_domain
            hello = HelloReceived(Hello.unpack(sender, msgpack.unpackb(packed)))
            self._deliver(target, self.hosts[target].handle(hello, self.now))


def measure_size(
    hosts: int, settle: float, seconds: float, sections_bytes: int
) -> SeedSize:
    """Run a fleet until its views have converged, then measure it."""
    tracemalloc.start()
    fleet = _Fleet(hosts, sections_bytes)
    before = tracemalloc.get_traced_memory()[0]
    fleet.run(settle)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fleet.clear()
    cpu_before = time.process_time()
    fleet.run(seconds)
    cpu_seconds = time.process_time() - cpu_before
    peers = [host.get_peers() for host in fleet.hosts.values()]
    ages = [fleet.now - peer.last_seen_at for known in peers for peer in known]
    host_seconds = seconds * hosts
    return SeedSize(
        hosts,
        fleet.bytes / host_seconds,
        fleet.cross_domain_bytes / host_seconds,
        fleet.messages / host_seconds,
        cpu_seconds * MICROSECONDS / host_seconds,
        memory / hosts,
        sum(len(known) for known in peers) / (hosts * (hosts - 1)),
        sum(ages) / len(ages),
    )


def _get_address(number: int) -> Address:
    # _Fleet._deliver derives the failure domain from the port.
    return Address(f"10.{number // 200}.0.{number % 200 + 1}", PORT + number)


def main() -> None:
    """Print a row per fleet size."""
    parser = argparse.ArgumentParser(prog="script/measure seeds", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=DEFAULT_SIZES)
    parser.add_argument("--settle", type=float, default=20.0, help="seconds")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--sections", type=int, default=0, help="bytes of sections")
    options = parser.parse_args()
    print("hosts  B/s  B/s to other domains  messages/s  us/s  KB  known  age s")
    for hosts in options.sizes:
        size = measure_size(hosts, options.settle, options.seconds, options.sections)
        print(
            f"{size.hosts:5d} {size.bytes_per_second:6.0f} "
            f"{size.cross_domain_bytes_per_second:6.0f} "
            f"{size.messages_per_second:6.1f} "
            f"{size.cpu_microseconds_per_second:7.0f} "
            f"{size.memory_bytes / KILOBYTE:7.1f} {size.known_share:6.3f} "
            f"{size.mean_age_seconds:5.2f}"
        )


if __name__ == "__main__":
    main()
