"""Write metrics in the Prometheus text exposition format."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import groupby
from operator import itemgetter

from hdrh.histogram import HdrHistogram
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    SummaryMetricFamily,
)
from prometheus_client.exposition import generate_latest
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import CollectorRegistry

from .metrics import MICROSECONDS_PER_SECOND, HistogramKey, Metrics

__all__ = ["write_exposition"]

NAME_PREFIX = "tarragonward_"
COUNTER_LABELS = ("label", "client_account")
HISTOGRAM_LABELS = ("client_account", "length_class")
QUANTILES = (0.5, 0.95, 0.99)


def write_exposition(metrics: Metrics) -> bytes:
    """Return all metrics in the text exposition format."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Convert metrics to the metric families of prometheus_client."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield each family once: scrapers refuse repeated HELP and TYPE lines."""
        counters = self._metrics.iterate_counters()
        for name, group in groupby(counters, key=itemgetter(0)):
            family = CounterMetricFamily(
                NAME_PREFIX + name, self._metrics.get_help(name), labels=COUNTER_LABELS
            )
            for _, label, account, value in group:
                family.add_metric([label, account], value)
            yield family
        for name, value in self._metrics.iterate_gauges():
            help_text = self._metrics.get_help(name)
            yield GaugeMetricFamily(NAME_PREFIX + name, help_text, value=value)
        histograms = self._metrics.iterate_histograms()
        for name, group in groupby(histograms, key=lambda item: item[0][0]):
            family = SummaryMetricFamily(
                f"{NAME_PREFIX}{name}_seconds",
                self._metrics.get_help(name),
                labels=HISTOGRAM_LABELS,
            )
            for key, histogram, total in group:
                _add_histogram(family, key, histogram, total)
            yield family


def _add_histogram(
    family: SummaryMetricFamily, key: HistogramKey, histogram: HdrHistogram, total: int
) -> None:
    values = key[1:]
    labels = dict(zip(HISTOGRAM_LABELS, values, strict=True))
    # All quantiles in one pass: a scrape blocks the event loop, and so all streams.
    percentiles = [quantile * 100 for quantile in QUANTILES]
    values_at = histogram.get_percentile_to_value_dict(percentiles)
    for quantile, percentile in zip(QUANTILES, percentiles, strict=True):
        quantile_labels = {**labels, "quantile": str(quantile)}
        seconds = values_at[percentile] / MICROSECONDS_PER_SECOND
        family.add_sample(family.name, quantile_labels, seconds)
    family.add_metric(
        values,
        count_value=histogram.get_total_count(),
        sum_value=total / MICROSECONDS_PER_SECOND,
    )
