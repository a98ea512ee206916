"""Measure membership by seeds at several sizes: `script/measure seeds`."""

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
# The format's number, the publications' section and the map around it.
FRAME_BYTES = 45


@dataclass(frozen=True)
class SeedSize:
    """What a host does at a size; bytes and messages are those it sends."""

    hosts: int
    bytes_a_second: float
    far_bytes_a_second: float
    messages_a_second: float
    core_microseconds_a_second: float
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
        self._last = dict.fromkeys(self.hosts, 300)
        self.clear()

    def clear(self) -> None:
        self.bytes = self.far_bytes = self.messages = 0

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND_SECONDS
            for address, host in self.hosts.items():
                event = RoundDue(self._last[address])
                self._carry(address, host.handle(event, self.now))

    def _carry(self, sender: Address, effects: list[SeedEffect]) -> None:
        targets = [a for e in effects if isinstance(e, SendHello) for a in e.addresses]
        if not targets:
            return
        packed = msgpack.packb(self.hosts[sender].build_hello(self.now).pack())
        self._last[sender] = size = len(packed) + self._overhead
        self.messages += len(targets)
        self.bytes += size * len(targets)
        for target in targets:
            is_far = (target.port - sender.port) % DOMAINS != 0
            self.far_bytes += size * is_far
            heard = HelloReceived(Hello.unpack(sender, msgpack.unpackb(packed)))
            self._carry(target, self.hosts[target].handle(heard, self.now))


def measure_size(
    hosts: int, settle: float, seconds: float, sections_bytes: int
) -> SeedSize:
    """Run a fleet until it knows itself, then measure it."""
    tracemalloc.start()
    fleet = _Fleet(hosts, sections_bytes)
    before = tracemalloc.get_traced_memory()[0]
    fleet.run(settle)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    fleet.clear()
    began = time.process_time()
    fleet.run(seconds)
    used = time.process_time() - began
    peers = [host.get_peers() for host in fleet.hosts.values()]
    ages = [fleet.now - peer.last_seen_at for known in peers for peer in known]
    scale = seconds * hosts
    return SeedSize(
        hosts,
        fleet.bytes / scale,
        fleet.far_bytes / scale,
        fleet.messages / scale,
        used * MICROSECONDS / scale,
        memory / hosts,
        sum(len(known) for known in peers) / (hosts * (hosts - 1)),
        sum(ages) / len(ages),
    )


def _get_address(number: int) -> Address:
    # The port only tells the fleet's domains apart here.
    return Address(f"10.{number // 200}.0.{number % 200 + 1}", PORT + number)


def main() -> None:
    """Print a row for each size."""
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
            f"{size.hosts:5d} {size.bytes_a_second:6.0f} "
            f"{size.far_bytes_a_second:6.0f} {size.messages_a_second:6.1f} "
            f"{size.core_microseconds_a_second:7.0f} "
            f"{size.memory_bytes / KILOBYTE:7.1f} {size.known_share:6.3f} "
            f"{size.mean_age_seconds:5.2f}"
        )


if __name__ == "__main__":
    main()
