"""Keep a bounded number of histograms, counters and gauges."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram

__all__ = ["LENGTH_CLASSES", "Metrics", "get_length_class"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
# A histogram takes 3.5 KB with one digit, 17 KB with two; one suffices for alerts.
SIGNIFICANT_DIGITS = 1
MAX_COUNTERS = 1_024
MAX_HISTOGRAMS = 256
OTHER_ACCOUNT = "other"
MICROSECONDS_PER_SECOND = 1_000_000

LENGTH_CLASSES = (
    (4_000, "to_4k"),
    (32_000, "to_32k"),
    (100_000, "to_100k"),
    (1 << 62, "over_100k"),
)

HistogramKey = tuple[str, str, str]


def get_length_class(prompt_tokens: int) -> str:
    """Return the name of the length class of a prompt."""
    for limit, name in LENGTH_CLASSES:
        if prompt_tokens <= limit:
            return name
    return LENGTH_CLASSES[-1][1]


class Metrics:
    """Histograms by (name, client account, length class), counters and gauges.

    They are created on first use. Beyond the maximum, new client accounts are counted
    as "other", so memory is bounded for any number of accounts. Names, labels and
    length classes must come from the code, never from a caller.
    """

    def __init__(
        self,
        max_histograms: int = MAX_HISTOGRAMS,
        max_counters: int = MAX_COUNTERS,
    ) -> None:
        self._max_histograms = max_histograms
        self._max_counters = max_counters
        self._histograms: dict[HistogramKey, HdrHistogram] = {}
        self._sums: Counter[HistogramKey] = Counter()
        self._counters: Counter[tuple[str, str, str]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._help: dict[str, str] = {}

    def set_help(self, name: str, text: str) -> None:
        """Set the help text of a metric."""
        self._help[name] = text

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        self._gauges[name] = read
        self.set_help(name, text)

    def observe(
        self, name: str, seconds: float, account: str = "", length_class: str = ""
    ) -> None:
        """Record a duration in seconds."""
        key = self._get_bounded_key((name, account, length_class))
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histograms[key].record_value(bounded)
        self._sums[key] += bounded

    def count(self, name: str, label: str = "", account: str = "", by: int = 1) -> None:
        """Increment a counter; label is a dimension such as a result code."""
        key = (name, label, account)
        if key not in self._counters and len(self._counters) >= self._max_counters:
            key = (name, label, OTHER_ACCOUNT)
        self._counters[key] += by

    def get_count(self, name: str) -> int:
        """Return the sum of a counter over all labels and accounts."""
        return sum(
            n for (counter, _, _), n in self._counters.items() if counter == name
        )

    def get_quantile(
        self, name: str, quantile: float, account: str = "", length_class: str = ""
    ) -> float | None:
        """Return a quantile in seconds, or None if nothing was recorded."""
        histogram = self._histograms.get((name, account, length_class))
        if histogram is None:
            return None
        return (
            histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS_PER_SECOND
        )

    def iterate_counters(self) -> Iterator[tuple[str, str, str, int]]:
        """Yield the name, label, client account and value of each counter."""
        for (name, label, account), value in sorted(self._counters.items()):
            yield name, label, account, value

    def iterate_gauges(self) -> Iterator[tuple[str, float]]:
        """Yield the name and current value of each gauge."""
        for name in sorted(self._gauges):
            yield name, self._gauges[name]()

    def iterate_histograms(self) -> Iterator[tuple[HistogramKey, HdrHistogram, int]]:
        """Yield the key, histogram and sum in microseconds of each histogram."""
        for key in sorted(self._histograms):
            yield key, self._histograms[key], self._sums[key]

    def get_help(self, name: str) -> str:
        """Return the help text of a metric."""
        return self._help.get(name, name.replace("_", " "))

    def write_exposition(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        # Imported on first use: prometheus_client brings a web server and takes 3.5 MB
        # of a host's 24.5 MB of resident memory, and few hosts are scraped.
        from .exposition import write_exposition

        return write_exposition(self)

    def _get_bounded_key(self, key: HistogramKey) -> HistogramKey:
        is_full = len(self._histograms) >= self._max_histograms
        if key not in self._histograms and is_full:
            key = (key[0], OTHER_ACCOUNT, key[2])
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return key
