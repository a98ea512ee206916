"""Tests for the metrics, parsed with the parser of prometheus_client."""

from prometheus_client.parser import text_string_to_metric_families

from tarragonward_core import Metrics


def read_families(metrics):
    text = metrics.write_exposition().decode()
    return text, {f.name: f for f in text_string_to_metric_families(text)}


def test_each_family_is_written_once_for_all_labels():
    """Scrapers drop a family whose TYPE line is repeated.

    Two accounts and two length classes are recorded under one name; the output must
    have one family with the quantiles, count and sum of each.
    """
    metrics = Metrics()
    metrics.observe("time_to_first_token", 0.25, "shelfwise", "to_4k")
    metrics.observe("time_to_first_token", 2.0, "camara", "over_100k")
    metrics.count("requests", "0", "shelfwise")
    metrics.count("requests", "1010")
    metrics.add_gauge("requests_in_flight", "Requests in progress.", lambda: 3)
    text, families = read_families(metrics)
    kinds = [line for line in text.splitlines() if line.startswith("# TYPE")]
    assert len(kinds) == len(set(kinds)) == 3
    samples = families["tarragonward_time_to_first_token_seconds"].samples
    counts = [s for s in samples if s.name.endswith("_count")]
    assert {s.labels["client_account"]: s.value for s in counts} == {
        "shelfwise": 1,
        "camara": 1,
    }
    sums = {
        s.labels["client_account"]: s.value for s in samples if s.name.endswith("_sum")
    }
    assert sums == {"shelfwise": 0.25, "camara": 2.0}
    assert families["tarragonward_requests_in_flight"].samples[0].value == 3


def test_accounts_beyond_the_limit_share_one_series():
    metrics = Metrics(max_histograms=2, max_counters=2)
    for number in range(50):
        metrics.observe("time_to_first_token", 1.0, f"account-{number}", "to_4k")
        metrics.count("requests", "0", f"account-{number}")
    _, families = read_families(metrics)
    samples = families["tarragonward_time_to_first_token_seconds"].samples
    counts = {
        s.labels["client_account"]: s.value
        for s in samples
        if s.name.endswith("_count")
    }
    assert counts == {"account-0": 1, "account-1": 1, "other": 48}
    assert metrics.get_count("requests") == 50
    assert len(families["tarragonward_requests"].samples) == 3
