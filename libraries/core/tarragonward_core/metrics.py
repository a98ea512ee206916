"""Keep bounded histograms, counters and gauges, and write them for scrapers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import CollectorRegistry

__all__ = ["LENGTH_CLASSES", "Metrics", "get_length_class"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
# One digit took 3.5 KB a histogram and two digits 17 KB; one is enough to alarm on.
SIGNIFICANT_DIGITS = 1
MAX_COUNTERS = 1_024
MAX_HISTOGRAMS = 256
NAME_PREFIX = "tarragonward_"
OTHER_ACCOUNT = "other"
QUANTILES = (0.5, 0.95, 0.99)
MICROSECONDS = 1_000_000
HISTOGRAM_LABELS = ("client_account", "length_class")

LENGTH_CLASSES = (
    (4_000, "to_4k"),
    (32_000, "to_32k"),
    (100_000, "to_100k"),
    (1 << 62, "over_100k"),
)

HistogramKey = tuple[str, str, str]


def get_length_class(prompt_tokens: int) -> str:
    """Return the name of the class that a prompt of this many tokens is in."""
    for limit, name in LENGTH_CLASSES:
        if prompt_tokens <= limit:
            return name
    return LENGTH_CLASSES[-1][1]


class Metrics:
    """Histograms by (name, client account, length class), made when first used.

    Past the maximum a new client account is counted under "other": what one process
    holds stays bounded however many accounts there are. Names, labels and length
    classes must come from the code, never from a caller.
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
        """Set the help text that scrapers show for a metric."""
        self._help[name] = text

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a value that is read anew at each scrape."""
        self._gauges[name] = read
        self.set_help(name, text)

    def observe(
        self, name: str, seconds: float, account: str = "", length_class: str = ""
    ) -> None:
        """Record a duration in seconds."""
        key = self._bound_histogram_key((name, account, length_class))
        microseconds = int(seconds * MICROSECONDS)
        bounded = min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        self._histograms[key].record_value(bounded)
        self._sums[key] += bounded

    def count(self, name: str, label: str = "", account: str = "", by: int = 1) -> None:
        """Add to the counter name; label is what it is split by, such as a code."""
        key = (name, label, account)
        if key not in self._counters and len(self._counters) >= self._max_counters:
            key = (name, label, OTHER_ACCOUNT)
        self._counters[key] += by

    def get_count(self, name: str) -> int:
        """Return the sum of a counter over its labels and accounts."""
        return sum(
            n for (counter, _, _), n in self._counters.items() if counter == name
        )

    def get_quantile(
        self, name: str, quantile: float, account: str = "", length_class: str = ""
    ) -> float | None:
        """Return a quantile in seconds, or None where nothing was recorded."""
        histogram = self._histograms.get((name, account, length_class))
        if histogram is None:
            return None
        return histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS

    def collect(self) -> Iterator[Metric]:
        """Give all values in the form that prometheus_client writes out."""
        for name in sorted({key[0] for key in self._counters}):
            yield self._collect_counter(name)
        for name in sorted(self._gauges):
            full_name, text = NAME_PREFIX + name, self._get_help(name)
            yield GaugeMetricFamily(full_name, text, value=self._gauges[name]())
        # One family for all histograms of a name: a scraper refuses, or drops, a
        # family whose HELP and TYPE lines come twice.
        for name in sorted({key[0] for key in self._histograms}):
            yield self._collect_histograms(name)

    def write_exposition(self) -> bytes:
        """Return all values in the text exposition format."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def _get_help(self, name: str) -> str:
        return self._help.get(name, name.replace("_", " "))

    def _bound_histogram_key(self, key: HistogramKey) -> HistogramKey:
        is_full = len(self._histograms) >= self._max_histograms
        if key not in self._histograms and is_full:
            key = (key[0], OTHER_ACCOUNT, key[2])
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return key

    def _collect_counter(self, name: str) -> Metric:
        family = CounterMetricFamily(
            NAME_PREFIX + name, self._get_help(name), labels=["label", "client_account"]
        )
        for (counter, label, account), value in sorted(self._counters.items()):
            if counter == name:
                family.add_metric([label, account], value)
        return family

    def _collect_histograms(self, name: str) -> Metric:
        family = SummaryMetricFamily(
            f"{NAME_PREFIX}{name}_seconds",
            self._get_help(name),
            labels=HISTOGRAM_LABELS,
        )
        for key in sorted(key for key in self._histograms if key[0] == name):
            self._add_histogram(family, key)
        return family

    def _add_histogram(self, family: SummaryMetricFamily, key: HistogramKey) -> None:
        histogram = self._histograms[key]
        values = key[1:]
        labels = dict(zip(HISTOGRAM_LABELS, values, strict=True))
        # All quantiles in one pass: a scrape holds up every stream of this host.
        percentiles = [quantile * 100 for quantile in QUANTILES]
        values_at = histogram.get_percentile_to_value_dict(percentiles)
        for quantile, percentile in zip(QUANTILES, percentiles, strict=True):
            quantile_labels = {**labels, "quantile": str(quantile)}
            seconds = values_at[percentile] / MICROSECONDS
            family.add_sample(family.name, quantile_labels, seconds)
        family.add_metric(
            values,
            count_value=histogram.get_total_count(),
            sum_value=self._sums[key] / MICROSECONDS,
        )
