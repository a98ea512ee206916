"""Keep bounded histograms and counters, and write them for scrapers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import CollectorRegistry

__all__ = ["LENGTH_CLASSES", "Metrics", "get_length_class"]

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 3_600_000_000
# One digit took 3.5 KB a histogram and two digits 17 KB; one is enough to alarm on.
SIGNIFICANT_DIGITS = 1
MAX_HISTOGRAMS = 256
OTHER_ACCOUNT = "other"
QUANTILES = (0.5, 0.95, 0.99)
MICROSECONDS = 1_000_000

LENGTH_CLASSES = (
    (4_000, "to_4k"),
    (32_000, "to_32k"),
    (100_000, "to_100k"),
    (1 << 62, "over_100k"),
)


def get_length_class(prompt_tokens: int) -> str:
    """Return the name of the class that a prompt of this many tokens is in."""
    for limit, name in LENGTH_CLASSES:
        if prompt_tokens <= limit:
            return name
    return LENGTH_CLASSES[-1][1]


class Metrics:
    """Histograms by (name, client account, length class), made when first used.

    Past MAX_HISTOGRAMS a new client account is counted under "other": what one
    process holds stays bounded however many accounts there are.
    """

    def __init__(self, max_histograms: int = MAX_HISTOGRAMS) -> None:
        self._max_histograms = max_histograms
        self._histograms: dict[tuple[str, str, str], HdrHistogram] = {}
        self._counters: Counter[tuple[str, str, str]] = Counter()

    def observe(
        self, name: str, seconds: float, account: str = "", length_class: str = ""
    ) -> None:
        """Record a duration in seconds."""
        histogram = self._get_histogram(name, account, length_class)
        microseconds = int(seconds * MICROSECONDS)
        histogram.record_value(
            min(max(microseconds, LOWEST_MICROSECONDS), HIGHEST_MICROSECONDS)
        )

    def count(self, name: str, label: str = "", account: str = "", by: int = 1) -> None:
        """Add to the counter name; label is what it is split by, such as a code."""
        key = (name, label, account)
        if key not in self._counters and len(self._counters) >= self._max_histograms:
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

    def collect(self) -> Iterator[CounterMetricFamily | SummaryMetricFamily]:
        """Give all values in the form that prometheus_client writes out."""
        for name in sorted({key[0] for key in self._counters}):
            family = CounterMetricFamily(
                f"tarragonward_{name}", name, labels=["label", "client_account"]
            )
            for (counter, label, account), value in self._counters.items():
                if counter == name:
                    family.add_metric([label, account], value)
            yield family
        for (name, account, length_class), histogram in self._histograms.items():
            yield from _summarise(name, account, length_class, histogram)

    def write_exposition(self) -> bytes:
        """Return all values in the text exposition format."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def _get_histogram(
        self, name: str, account: str, length_class: str
    ) -> HdrHistogram:
        key = (name, account, length_class)
        if (
            key not in self._histograms
            and len(self._histograms) >= self._max_histograms
        ):
            key = (name, OTHER_ACCOUNT, length_class)
        if key not in self._histograms:
            self._histograms[key] = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
        return self._histograms[key]


def _summarise(
    name: str, account: str, length_class: str, histogram: HdrHistogram
) -> Iterator[SummaryMetricFamily]:
    labels = ["client_account", "length_class"]
    values = [account, length_class]
    total = histogram.get_total_count()
    family = SummaryMetricFamily(f"tarragonward_{name}_seconds", name, labels=labels)
    mean_seconds = histogram.get_mean_value() / MICROSECONDS
    family.add_metric(values, count_value=total, sum_value=mean_seconds * total)
    for quantile in QUANTILES:
        seconds = histogram.get_value_at_percentile(quantile * 100) / MICROSECONDS
        family.add_sample(
            family.name,
            dict(zip([*labels, "quantile"], [*values, str(quantile)], strict=True)),
            seconds,
        )
    yield family
