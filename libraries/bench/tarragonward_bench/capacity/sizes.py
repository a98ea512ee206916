"""Hold the sizes that capacity is worked out for, and the budgets."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BUDGET", "DESIGN", "TODAY", "Budget", "Sizes"]

DAY_SECONDS = 86_400.0


@dataclass(frozen=True)
class Sizes:
    """A fleet; rates a second or a day as named, over all hosts.

    list_changes_a_day counts each change of the host list: a replaced host leaves,
    goes and comes.
    """

    name: str
    hosts: int
    failure_domains: int
    regions: int
    runners: int
    requests_a_second: float
    tokens_a_second: float
    accounts: int
    changes_a_day: float
    list_changes_a_day: float
    tokens_a_request: float
    request_seconds: float
    calls_a_second: float

    @property
    def hosts_a_domain(self) -> int:
        """Return how many hosts one failure domain has."""
        return self.hosts // self.failure_domains

    @property
    def in_flight_a_host(self) -> float:
        """Return how many requests a host has in flight at the peak."""
        return self.requests_a_second * self.request_seconds / self.hosts

    @property
    def streams_a_runner(self) -> float:
        """Return how many streams a runner holds at the peak."""
        return self.requests_a_second * self.request_seconds / self.runners


@dataclass(frozen=True)
class Budget:
    """What control may take of one host."""

    bytes_a_second: float = 3 * 1024.0
    memory_mb: float = 32.0
    core_percent: float = 1.4
    platform_reads_a_second: float = 2_000.0
    change_seconds: float = 8.0


# Requests and tokens of today are not in the data we have; these are assumptions.
TODAY = Sizes(
    name="today",
    hosts=9,
    failure_domains=3,
    regions=1,
    runners=20,
    requests_a_second=20.0,
    tokens_a_second=10_000.0,
    accounts=10,
    changes_a_day=10.0,
    list_changes_a_day=30.0,
    tokens_a_request=500.0,
    request_seconds=13.0,
    calls_a_second=5.0,
)

# 1.9 million tokens at 4,000 requests a second are 475 a request; at 26 ms a token
# and 0.7 s to the first one, a request lasts 13 s. 280 hosts and as many runners are
# replaced a day, three list changes each. One call in ten requests is assumed.
DESIGN = Sizes(
    name="design",
    hosts=320,
    failure_domains=4,
    regions=2,
    runners=730,
    requests_a_second=4_000.0,
    tokens_a_second=1_900_000.0,
    accounts=2_600,
    changes_a_day=370.0,
    list_changes_a_day=3 * 2 * 280.0,
    tokens_a_request=475.0,
    request_seconds=13.0,
    calls_a_second=400.0,
)

BUDGET = Budget()
