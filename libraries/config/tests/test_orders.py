"""Tests for the load orders of engines."""

import pytest

from tarragonward_config import (
    EngineOrderState,
    OrderDecision,
    build_orders,
    decide_order,
    parse_configuration,
)

ENGINE = {
    "kind": "engine",
    "address": "127.0.0.1:9",
    "failure_domain": "north",
    "models": ["b", "a"],
    "kv_tokens": 1,
}
DOCUMENT = {
    "client_accounts": {},
    "models": {
        "a": {"context_tokens": 1, "version": "2"},
        "b": {"context_tokens": 1, "adapters": ["x"]},
    },
    "services": {},
    "targets": {"engine-1": ENGINE},
}
ORDER = build_orders(parse_configuration(DOCUMENT), 7)["engine-1"]
MODELS = {
    "a": {"version": "2", "adapters": []},
    "b": {"version": "1", "adapters": ["x"]},
}


def test_an_order_depends_only_on_the_document_and_its_number():
    assert ORDER.build_body() == {"fencing": 7, "models": MODELS}
    again = build_orders(parse_configuration(DOCUMENT), 7)
    assert again["engine-1"] == ORDER


@pytest.mark.parametrize(
    ("reported", "checks", "ignores"),
    [
        (None, OrderDecision.SEND, OrderDecision.VERIFY_THEN_SEND),
        (
            EngineOrderState(6, MODELS),
            OrderDecision.SEND,
            OrderDecision.VERIFY_THEN_SEND,
        ),
        (EngineOrderState(7, {}), OrderDecision.SEND, OrderDecision.VERIFY_THEN_SEND),
        (EngineOrderState(7, MODELS), OrderDecision.NOTHING, OrderDecision.NOTHING),
        (EngineOrderState(8, {}), OrderDecision.CATCH_UP, OrderDecision.CATCH_UP),
    ],
)
def test_decision_depends_on_the_reported_state(reported, checks, ignores):
    assert decide_order(ORDER, reported, checks_fencing=True) is checks
    assert decide_order(ORDER, reported, checks_fencing=False) is ignores


def test_invalid_reports_give_no_state():
    for report in (None, {}, {"orders": 1}, {"orders": {"fencing": True}}):
        assert EngineOrderState.parse(report) is None
