"""Measure what state costs: configuration, histograms, requests, recorded answers."""

from __future__ import annotations

import gzip
from typing import Any

import orjson

from tarragonward_config import (
    ConfigurationHistory,
    LogEntry,
    apply_entry,
    build_state,
    hash_token,
)
from tarragonward_core import Metrics
from tarragonward_daemon.membership import parse_list
from tarragonward_membership import LoadReport, Membership
from tarragonward_placement import EngineView, Placement, PlacementRequest
from tarragonward_requests import (
    CallLedger,
    RecordedAnswer,
    RequestLifecycle,
    RetryBudget,
)
from tarragonward_wire import HttpAnswer

from ..membership_network import FakeNetwork, NetworkPlan
from .slopes import (
    Slope,
    fit_slope,
    measure_cpu_seconds,
    measure_kept_bytes,
    measure_peak_bytes,
)

__all__ = ["build_document", "build_host_list", "measure_state_slopes"]

ANSWER_BYTES = 1_024
KIB = 1_024
MICROSECONDS = 1e6
MILLISECONDS = 1e3
ADAPTERS = 2
HISTOGRAMS = (64, 128, 256)


def build_document(accounts: int, runners: int) -> dict[str, Any]:
    """Return a configuration of this size, as the platform would publish it."""
    targets = {
        f"engine-{n:04d}": {
            "kind": "engine",
            "address": f"10.{n // 200}.0.{n % 200}:8000",
            "failure_domain": f"domain-{n % 4}",
            "models": [f"model-{n % 3}"],
            "kv_tokens": 1_000_000,
            "checks_fencing": True,
        }
        for n in range(runners)
    }
    return {
        "client_accounts": {
            f"account-{n:04d}": {"token_sha256": [hash_token(str(n))], "weight": 1.0}
            for n in range(accounts)
        },
        "models": {f"model-{n}": {"context_tokens": 1_200_000} for n in range(3)},
        "services": {},
        "targets": targets,
    }


def build_host_list(entries: int) -> bytes:
    """Return a host list of this many hosts and targets as JSON."""
    hosts = [
        {
            "kind": "entry" if n % 10 < 3 else "target",
            "name": f"host-{n:04d}",
            "address": f"10.{n // 200}.0.{n % 200}:7000",
            "failure_domain": f"domain-{n % 4}",
            "region": f"region-{n % 2}",
            "state": "live",
        }
        for n in range(entries)
    ]
    return orjson.dumps({"hosts": hosts})


def measure_state_slopes() -> list[Slope]:
    """Measure all slopes of state; three sizes each."""
    accounts, runners, kib = (260, 1_300, 2_600), (90, 365, 730), (60, 250, 500)
    return [
        fit_slope("account_memory", "account", "B", _account_bytes, accounts),
        fit_slope("account_lookup", "account", "us", _lookup_us, accounts),
        fit_slope("runner_memory", "runner", "B", _runner_bytes, runners),
        fit_slope("load_memory", "runner", "B", _load_bytes, runners),
        fit_slope("configuration_bytes", "account", "B", _document_bytes, accounts),
        fit_slope("configuration_parse", "KiB", "ms", _parse_ms, kib),
        fit_slope("patch_apply", "KiB", "ms", _patch_ms, kib),
        fit_slope("patch_memory", "KiB", "B", _patch_peak, kib),
        fit_slope("patch_bytes", "operation", "B", _patch_bytes, (1, 2, 4)),
        fit_slope("list_bytes", "entry", "B", _list_bytes, (100, 400, 1_050)),
        fit_slope("list_gzip_bytes", "entry", "B", _list_gzip, (100, 400, 1_050)),
        fit_slope("list_parse", "entry", "us", _list_us, (100, 400, 1_050)),
        fit_slope("histogram_memory", "histogram", "B", _histogram_bytes, HISTOGRAMS),
        fit_slope("scrape_bytes", "histogram", "B", _scrape_bytes, HISTOGRAMS),
        fit_slope("scrape_gzip_bytes", "histogram", "B", _scrape_gzip, HISTOGRAMS),
        fit_slope("scrape_cpu", "histogram", "ms", _scrape_ms, HISTOGRAMS),
        fit_slope("request_memory", "request", "B", _request_bytes, (100, 200, 400)),
        fit_slope("answer_memory", "answer", "B", _answer_bytes, (250, 500, 1_000)),
    ]


def _account_bytes(accounts: int) -> float:
    document = orjson.dumps(build_document(accounts, 10))
    return measure_kept_bytes(lambda: build_state(0, 0, orjson.loads(document)))


def _lookup_us(accounts: int) -> float:
    state = build_state(0, 0, build_document(accounts, 10))
    seconds = measure_cpu_seconds(lambda: state.configuration.find_account("1"), 50)
    return seconds * MICROSECONDS


def _runner_bytes(runners: int) -> float:
    document = orjson.dumps(build_document(10, runners))
    return measure_kept_bytes(lambda: build_state(0, 0, orjson.loads(document)))


def _load_bytes(runners: int) -> float:
    network = FakeNetwork(NetworkPlan(("a",), 2), seed=1)
    identity = next(iter(network.hosts.values())).membership.identity
    names = [f"engine-{n}" for n in range(runners)]

    def build() -> Membership:
        membership = Membership(identity, "a")
        membership.loads.set_targets(dict.fromkeys(names, True))
        for name in names:
            membership.loads.record(LoadReport(name, 1 << 20, 1 << 20, 70, 1.5))
        return membership

    return measure_kept_bytes(build)


def _document_bytes(accounts: int) -> float:
    return len(orjson.dumps(build_document(accounts, 730)))


def _build_of_kib(kib: int) -> dict[str, Any]:
    """Return a document of about this size: 3.6 accounts for each runner."""
    document = build_document(26, 7)
    each = len(orjson.dumps(document)) / 7
    runners = round(kib * KIB / each)
    return build_document(round(runners * 26 / 7), runners)


def _parse_ms(kib: int) -> float:
    data = orjson.dumps(_build_of_kib(kib))
    seconds = measure_cpu_seconds(lambda: build_state(0, 0, orjson.loads(data)))
    return seconds * MILLISECONDS


def _patch_ms(kib: int) -> float:
    state = build_state(0, 0, _build_of_kib(kib))
    path = "/client_accounts/account-0001/weight"
    operation = {"op": "replace", "path": path, "value": 2.0}
    entry = LogEntry(1, 0, (operation,))
    return measure_cpu_seconds(lambda: apply_entry(state, entry)) * MILLISECONDS


def _patch_peak(kib: int) -> float:
    history = ConfigurationHistory()
    history.take_snapshot(build_state(0, 0, _build_of_kib(kib)))
    path = "/client_accounts/account-0001/weight"
    operation = {"op": "replace", "path": path, "value": 2.0}
    return measure_peak_bytes(lambda: history.extend([LogEntry(1, 0, (operation,))]))


def _patch_bytes(operations: int) -> float:
    path = "/client_accounts/account-0001/weight"
    operation = {"op": "replace", "path": path, "value": 2.0}
    entry = {"sequence": 1_000, "base": 999, "operations": [operation] * operations}
    return len(orjson.dumps(entry))


def _list_bytes(entries: int) -> float:
    return len(build_host_list(entries))


def _list_gzip(entries: int) -> float:
    return len(gzip.compress(build_host_list(entries)))


def _list_us(entries: int) -> float:
    body = gzip.compress(build_host_list(entries))
    answer = HttpAnswer(200, {"content-encoding": "gzip"}, body)
    return measure_cpu_seconds(lambda: parse_list(answer), 5) * MICROSECONDS


def _build_metrics(histograms: int) -> Metrics:
    metrics = Metrics()
    for n in range(histograms):
        metrics.observe(
            "time_to_first_token", 0.1 + n / 100, f"account-{n:04d}", "to_4k"
        )
    return metrics


def _histogram_bytes(histograms: int) -> float:
    return measure_kept_bytes(lambda: _build_metrics(histograms))


def _scrape_bytes(histograms: int) -> float:
    return len(_build_metrics(histograms).write_exposition())


def _scrape_gzip(histograms: int) -> float:
    return len(gzip.compress(_build_metrics(histograms).write_exposition()))


def _scrape_ms(histograms: int) -> float:
    metrics = _build_metrics(histograms)
    return measure_cpu_seconds(metrics.write_exposition, 2) * MILLISECONDS


def _request_bytes(requests: int) -> float:
    views = [EngineView(f"engine-{n}", 1 << 40, 1 << 40, 0, 0, 1.0) for n in range(183)]

    def build() -> tuple[Placement, list[RequestLifecycle]]:
        placement, lifecycles = Placement(), []
        for n in range(requests):
            lifecycle = RequestLifecycle(f"request-{n}", 1e6, RetryBudget(), 500)
            lifecycle.start(0.0)
            lifecycles.append(lifecycle)
            request = PlacementRequest(
                request_id=f"request-{n}",
                account=f"account-{n}",
                model="model-1",
                prompt_tokens=4_000,
                max_tokens=500,
                priority=0,
                remaining_seconds=600.0,
            )
            placement.place(request, views, 0.0)
        return placement, lifecycles

    return measure_kept_bytes(build)


def _answer_bytes(answers: int) -> float:
    def build() -> CallLedger:
        ledger = CallLedger(900.0)
        for n in range(answers):
            key = f"10.0.0.1:7000#000000000001.{n:08d}.booking"
            ledger.accept(key, n.to_bytes(32, "big"), 0.0, 1.0, 60.0)
            ledger.mark_sent(key, 1.0)
            body = n.to_bytes(ANSWER_BYTES, "big")
            answer = RecordedAnswer(200, "application/json", body)
            ledger.record_answer(key, answer, 1.0)
        return ledger

    return measure_kept_bytes(build)
