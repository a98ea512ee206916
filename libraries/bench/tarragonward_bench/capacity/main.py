"""Measure slopes again and set the design size against the budget."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from collections.abc import Sequence

from absl import logging

from tarragonward_wire import encode_message

from .fleet import GossipLoad, measure_gossip, measure_member_bytes
from .loopback import PAYLOADS, async_measure_loopback, build_gossip
from .rows import Row, build_rows, compute_costs, count_over_budget
from .sizes import DESIGN, TODAY
from .slopes import Slope, fit_slope
from .state import measure_state_slopes

__all__ = ["main"]

FLEETS = (8, 40, 160, 320)
MEMBERS = (40, 160, 320)
RUNNERS_A_HOST = DESIGN.runners / DESIGN.hosts
MEMORY_PROGRAM = """
import tarragonward_daemon.app
for line in open("/proc/self/smaps_rollup"):
    name, *rest = line.split()
    if name in ("Rss:", "Anonymous:"):
        print(name, int(rest[0]) * 1024 / 1e6)
"""


def main() -> int:
    """Print slopes, the table and the sums."""
    logging.set_verbosity(logging.FATAL)
    begin = time.monotonic()
    fleets = {hosts: _measure_fleet(hosts) for hosts in FLEETS}
    slopes = _measure_slopes(fleets)
    for slope in slopes.values():
        print(slope)
    own_mb, rss_mb = _measure_process()
    today = compute_costs(TODAY, fleets[FLEETS[0]], slopes, own_mb)
    design = compute_costs(DESIGN, fleets[FLEETS[-1]], slopes, own_mb)
    rows = build_rows(today, design, rss_mb)
    _print_table(rows)
    print(f"took {time.monotonic() - begin:.0f} s")
    print(
        f"control_bytes_per_s={sum(design.bytes_a_second.values()):.0f}"
        f" control_memory_mb={sum(design.memory_mb.values()):.1f}"
        f" control_core_percent={sum(design.core_percent.values()):.2f}"
        f" over_budget={count_over_budget(rows)}"
    )
    return 0


def _measure_fleet(hosts: int) -> GossipLoad:
    runners = TODAY.runners if hosts < MEMBERS[0] else round(hosts * RUNNERS_A_HOST)
    load = measure_gossip(hosts, runners)
    print(load, flush=True)
    return load


def _measure_slopes(fleets: dict[int, GossipLoad]) -> dict[str, Slope]:
    slopes = measure_state_slopes()
    slopes += asyncio.run(async_measure_loopback(fit_slope))
    slopes.append(
        fit_slope("member_memory", "member", "B", measure_member_bytes, MEMBERS)
    )
    large = [hosts for hosts in FLEETS if hosts >= MEMBERS[0]]
    slopes += [
        _fit_fleet("gossip_bytes", "B/s", fleets, large, "median_bytes_sent"),
        _fit_fleet("gossip_messages", "1/s", fleets, large, "median_messages_sent"),
        _fit_fleet("gossip_core", "s/s", fleets, large, "decision_core_seconds"),
        _fit_fleet("load_age", "s", fleets, large, "median_load_age"),
    ]
    named = {slope.name: slope for slope in slopes}
    named["message_overhead"] = _fit_overhead(named["exchange_bytes"])
    return named


def _fit_fleet(
    name: str,
    unit: str,
    fleets: dict[int, GossipLoad],
    sizes: Sequence[int],
    field: str,
) -> Slope:
    return fit_slope(name, "host", unit, lambda n: getattr(fleets[n], field), sizes)


def _fit_overhead(exchange: Slope) -> Slope:
    """Return what the envelope and the frame add to one message."""
    measured = dict(zip(exchange.sizes, exchange.values, strict=True))

    def get_overhead(payload: int) -> float:
        return measured[payload] / 2 - len(encode_message(build_gossip(payload)))

    return fit_slope("message_overhead", "payload byte", "B", get_overhead, PAYLOADS)


def _measure_process() -> tuple[float, float]:
    """Return a fresh daemon's own memory, and all that is mapped, in MB."""
    output = subprocess.run(
        [sys.executable, "-c", MEMORY_PROGRAM],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    values = dict(line.split() for line in output.splitlines())
    return float(values["Anonymous:"]), float(values["Rss:"])


def _print_table(rows: list[Row]) -> None:
    head = ("role", "resource", "today", "design", "budget", "verdict")
    print(
        f"{head[0]:42} {head[1]:12} {head[2]:>10} {head[3]:>10} {head[4]:>8} {head[5]}"
    )
    for row in rows:
        budget = "-" if row.budget is None else f"{row.budget:g}"
        print(
            f"{row.role:42} {row.resource:12} {row.today:>10.4g} {row.design:>10.4g}"
            f" {budget:>8} {row.verdict}"
        )


if __name__ == "__main__":
    sys.exit(main())
