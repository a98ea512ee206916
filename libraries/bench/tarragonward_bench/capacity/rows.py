"""Work out from the slopes what each role costs a host at a fleet's size."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from tarragonward_core.metrics import MAX_HISTOGRAMS
from tarragonward_daemon import const as daemon
from tarragonward_membership.const import TARGET_WATCHERS

from .fleet import GossipLoad
from .sizes import BUDGET, DAY_SECONDS, Sizes
from .slopes import Slope

__all__ = ["Costs", "Row", "build_rows", "compute_costs", "count_over_budget"]

KIB = 1_024
MEGABYTE = 1e6
MICROSECOND = 1e6
PERCENT = 100
SCRAPE_SECONDS = 60.0
NEWS_NEIGHBOURS = daemon.NEIGHBOURS_NEAR + daemon.NEIGHBOURS_FAR
LINK_ENDS = 2
START_READS = 4
# A stream's id and owner in an engine's list of what it holds.
HELD_BYTES = 90
# What configuration_bytes was measured with.
RUNNERS_IN_DOCUMENT = 730


@dataclass(frozen=True)
class Costs:
    """What control costs one host, by role; bytes sent and received a second."""

    sizes: Sizes
    bytes_a_second: Mapping[str, float]
    core_percent: Mapping[str, float]
    memory_mb: Mapping[str, float]
    serving: Mapping[str, tuple[str, float]]
    platform_reads: Mapping[str, float]


@dataclass(frozen=True)
class Row:
    """One line of the table; budget is None where there is none."""

    role: str
    resource: str
    today: float
    design: float
    budget: float | None = None

    @property
    def is_over(self) -> bool:
        """Return whether the design size is over the budget."""
        return self.budget is not None and self.design > self.budget

    @property
    def verdict(self) -> str:
        """Return what the row comes to."""
        if self.budget is None:
            return "part of the sum"
        return "OVER" if self.is_over else "within"


def compute_costs(
    sizes: Sizes, gossip: GossipLoad, slopes: Mapping[str, Slope], process_mb: float
) -> Costs:
    """Return what a host pays at this size; process_mb is a fresh daemon's memory."""
    return Costs(
        sizes=sizes,
        bytes_a_second=_compute_bytes(sizes, gossip, slopes),
        core_percent=_compute_core(sizes, gossip, slopes),
        memory_mb=_compute_memory(sizes, slopes, process_mb),
        serving=_compute_serving(sizes, slopes),
        platform_reads=_compute_reads(sizes),
    )


def build_rows(today: Costs, design: Costs, process_rss_mb: float) -> list[Row]:
    """Return the table: each role, the sums of control, then serving and platform."""
    rows = []
    for resource, budget, of in (
        ("B/s", BUDGET.bytes_a_second, lambda costs: costs.bytes_a_second),
        ("% of a core", BUDGET.core_percent, lambda costs: costs.core_percent),
        ("MB", BUDGET.memory_mb, lambda costs: costs.memory_mb),
    ):
        first, second = of(today), of(design)
        rows += [Row(role, resource, first[role], second[role]) for role in first]
        total = Row(
            "control, sum", resource, sum(first.values()), sum(second.values()), budget
        )
        rows.append(total)
    rows.append(
        Row(
            "fresh process, mapped text too",
            "MB",
            process_rss_mb,
            process_rss_mb,
            BUDGET.memory_mb,
        )
    )
    reads = BUDGET.platform_reads_a_second
    rows += [
        Row(f"platform, {case}", "reads/s", value, design.platform_reads[case], reads)
        for case, value in today.platform_reads.items()
    ]
    rows += [
        Row(f"serving: {role}", unit, value, design.serving[role][1])
        for role, (unit, value) in today.serving.items()
    ]
    return rows


def count_over_budget(rows: list[Row]) -> int:
    """Return how many rows are over their budget."""
    return sum(row.is_over for row in rows)


def get_report_interval(hosts: int) -> float:
    """Return the seconds between two reads of one runner's load by one host."""
    seconds = hosts * daemon.REPORT_SECONDS_A_HOST
    return min(max(seconds, daemon.REPORT_SECONDS), daemon.REPORT_SECONDS_LIMIT)


def get_order_interval(hosts: int) -> float:
    """Return the seconds between two looks at one engine's orders by one host."""
    seconds = hosts * daemon.ORDER_SECONDS_A_HOST
    return min(max(seconds, daemon.ORDER_SECONDS), daemon.ORDER_SECONDS_LIMIT)


def _compute_polls(sizes: Sizes) -> dict[str, float]:
    """Return HTTP reads a second of one host, by role."""
    ordered = daemon.ORDER_WATCHERS * sizes.runners / sizes.hosts
    return {
        "reports": TARGET_WATCHERS
        * sizes.runners
        / sizes.hosts
        / get_report_interval(sizes.hosts),
        "orders": ordered / get_order_interval(sizes.hosts),
        "configuration watch": 1 / daemon.CONFIGURATION_WATCH_SECONDS,
        "host list": 1 / daemon.HOST_LIST_SECONDS,
    }


def _compute_bytes(
    sizes: Sizes, gossip: GossipLoad, slopes: Mapping[str, Slope]
) -> dict[str, float]:
    poll = slopes["poll_bytes"].slope
    costs = {role: rate * poll for role, rate in _compute_polls(sizes).items()}
    message = slopes["message_overhead"].intercept
    sent = gossip.median_bytes_sent + gossip.median_messages_sent * message
    busiest = gossip.busiest_bytes_sent + gossip.busiest_messages_sent * message
    list_bytes = slopes["list_gzip_bytes"].at(sizes.hosts + sizes.runners)
    costs["host list"] *= slopes["unchanged_list_bytes"].slope / poll
    costs["host list"] += sizes.list_changes_a_day * list_bytes / DAY_SECONDS
    patch = slopes["patch_bytes"].at(1) + message
    patches = sizes.changes_a_day * patch * (1 + 2 * NEWS_NEIGHBOURS) / DAY_SECONDS
    # One pull asked and one answered for each interval, with two short messages.
    pulls = 2 * slopes["exchange_bytes"].at(0) / daemon.CONFIGURATION_PULL_SECONDS
    scrape = slopes["scrape_gzip_bytes"].at(_count_histograms(sizes)) / SCRAPE_SECONDS
    return {
        "gossip": 2 * sent,
        "gossip, more at a bridge": 2 * (busiest - sent),
        **costs,
        "patches and pulls between hosts": patches + pulls,
        "metrics": scrape,
    }


def _compute_core(
    sizes: Sizes, gossip: GossipLoad, slopes: Mapping[str, Slope]
) -> dict[str, float]:
    exchange = slopes["exchange_cpu"].at(0) / MICROSECOND
    polls = sum(_compute_polls(sizes).values()) * slopes["poll_cpu"].slope
    pulls = 2 * exchange / daemon.CONFIGURATION_PULL_SECONDS
    apply_ms = slopes["patch_apply"].at(_get_document_kib(sizes, slopes))
    list_us = slopes["list_parse"].at(sizes.hosts + sizes.runners)
    scrape_ms = slopes["scrape_cpu"].at(_count_histograms(sizes))
    seconds = {
        "gossip, decisions": gossip.decision_core_seconds,
        "gossip, links": gossip.busiest_messages_sent * exchange / 2,
        "HTTP reads": polls / MICROSECOND,
        "patches and pulls": pulls + sizes.changes_a_day * apply_ms / 1e3 / DAY_SECONDS,
        "host list": sizes.list_changes_a_day * list_us / MICROSECOND / DAY_SECONDS,
        "metrics": scrape_ms / 1e3 / SCRAPE_SECONDS,
    }
    return {role: value * PERCENT for role, value in seconds.items()}


def _compute_memory(
    sizes: Sizes, slopes: Mapping[str, Slope], process_mb: float
) -> dict[str, float]:
    configuration = (
        slopes["account_memory"].slope * sizes.accounts
        + slopes["runner_memory"].slope * sizes.runners
    )
    # The old and the new configuration share what the patch does not name.
    patch = slopes["patch_memory"].at(_get_document_kib(sizes, slopes))
    links = LINK_ENDS * sizes.hosts_a_domain * slopes["link_memory"].slope / LINK_ENDS
    parts = {
        "members": slopes["member_memory"].at(sizes.hosts),
        "loads and demand": slopes["load_memory"].at(sizes.runners),
        "configuration": configuration,
        "configuration, while a patch is applied": patch,
        "links": links,
        "histograms": slopes["histogram_memory"].at(_count_histograms(sizes)),
    }
    memory = {role: value / MEGABYTE for role, value in parts.items()}
    return {"fresh process, its own pages": process_mb, **memory}


def _compute_serving(
    sizes: Sizes, slopes: Mapping[str, Slope]
) -> dict[str, tuple[str, float]]:
    requests = sizes.requests_a_second / sizes.hosts
    lookup = requests * slopes["account_lookup"].at(sizes.accounts) / MICROSECOND
    answers = sizes.calls_a_second / sizes.hosts * 900.0
    held = TARGET_WATCHERS * sizes.runners / sizes.hosts * sizes.streams_a_runner
    request_mb = slopes["request_memory"].slope * sizes.in_flight_a_host / MEGABYTE
    return {
        "requests in flight": ("MB", request_mb),
        "recorded answers": ("MB", slopes["answer_memory"].slope * answers / MEGABYTE),
        "account look-up": ("% of a core", lookup * PERCENT),
        "sweep": ("B/s", held * HELD_BYTES / _get_sweep_seconds(sizes)),
        "tokens to relay": ("tokens/s", sizes.tokens_a_second / sizes.hosts),
    }


def _compute_reads(sizes: Sizes) -> dict[str, float]:
    steady = 1 / daemon.CONFIGURATION_WATCH_SECONDS + 1 / daemon.HOST_LIST_SECONDS
    retries = 1 / daemon.CONFIGURATION_RETRY_SECONDS
    return {
        "steady": sizes.hosts * steady,
        "whole fleet starts within a second": sizes.hosts * START_READS,
        "a domain returns within a second": sizes.hosts_a_domain * START_READS
        + (sizes.hosts - sizes.hosts_a_domain) * steady,
        "service down, all retry": sizes.hosts
        * (retries + 1 / daemon.HOST_LIST_SECONDS),
    }


def _count_histograms(sizes: Sizes) -> float:
    """Return histograms made: accounts by four length classes, up to the bound."""
    return min(4 * sizes.accounts, MAX_HISTOGRAMS)


def _get_document_kib(sizes: Sizes, slopes: Mapping[str, Slope]) -> float:
    accounts = slopes["configuration_bytes"].slope * sizes.accounts
    runner = slopes["configuration_bytes"].intercept / RUNNERS_IN_DOCUMENT
    return (accounts + runner * sizes.runners) / KIB


def _get_sweep_seconds(sizes: Sizes) -> float:
    seconds = sizes.hosts * daemon.SWEEP_SECONDS_A_HOST
    return min(max(seconds, daemon.SWEEP_SECONDS), daemon.SWEEP_SECONDS_LIMIT)
