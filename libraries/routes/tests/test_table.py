"""Tests for the routing table and the engine's performance model."""

from dataclasses import replace

import pytest

from tarragonward_routes import (
    Account,
    EngineModel,
    RequestKind,
    Route,
    RoutingTable,
    Share,
)


def build_route(prefix, host="a.example", **fields):
    shares = fields.pop("shares", (Share("s", 1),))
    return Route(prefix, host, prefix, RequestKind.IDEMPOTENT, shares, **fields)


@pytest.fixture
def table():
    prefixes = ("/", "/one/", "/one/two/")
    routes = [build_route(prefix) for prefix in prefixes]
    routes.append(build_route("/only/", host="b.example"))
    accounts = {"key": Account("account")}
    return RoutingTable(7, tuple(routes), accounts_by_key=accounts, needs_key=True)


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("a.example", "/one/two/three", "/one/two/"),
        ("a.example", "/one/two", "/one/"),
        ("a.example", "/one", "/"),
        ("A.Example:8080", "/one/", "/one/"),
        ("b.example", "/only/x/", "/only/"),
        ("b.example", "/one/", None),
        ("c.example", "/", None),
        ("b.example", "", None),
    ],
)
def test_route_with_the_longest_prefix_is_selected(table, host, path, prefix):
    route = table.select_route(host, path)
    assert (route and route.prefix) == prefix


def test_account_lookup_by_key(table):
    assert table.find_account("key").name == "account"
    assert table.find_account("") is None


@pytest.mark.parametrize(
    ("draw", "service"), [(0.0, "x"), (0.89, "x"), (0.9, "y"), (0.999, "y")]
)
def test_services_are_chosen_by_weight(draw, service):
    route = build_route("/", shares=(Share("x", 90), Share("y", 10)))
    assert route.choose_service(draw) == service


@pytest.mark.parametrize(
    ("kind", "is_resumable", "may_run_again", "may_resume"),
    [
        (RequestKind.IDEMPOTENT, False, True, False),
        (RequestKind.IDEMPOTENT, True, True, False),
        (RequestKind.NON_IDEMPOTENT, False, False, False),
        (RequestKind.NON_IDEMPOTENT, True, False, False),
        (RequestKind.STREAM, False, False, False),
        (RequestKind.STREAM, True, True, True),
    ],
)
def test_marks_that_contradict_the_kind_permit_nothing(
    kind, is_resumable, may_run_again, may_resume
):
    """A mark for streams must not allow a second run of a non-idempotent request."""
    route = replace(build_route("/"), kind=kind, is_resumable=is_resumable)
    assert (route.may_run_again, route.may_resume) == (may_run_again, may_resume)
    assert bool(route.ignored_marks) == (is_resumable and not may_resume)


def test_a_service_with_weight_zero_is_never_chosen():
    route = build_route("/", shares=(Share("x", 0), Share("y", 10)))
    assert route.choose_service(0.0) == "y"


def test_prefill_and_decode_times_follow_the_published_constants():
    model = EngineModel(8, 450_000, 46, 2_048, 1e-3, 0.0, 0.0, 256_000, 1e-10)
    assert model.compute_prefill_seconds(256_000) == pytest.approx(1.0 + 3.2768)
    assert model.compute_prefill_seconds(256_000, 4) == pytest.approx(4.2768 / 4)
    assert model.compute_decode_seconds(0, 0) == pytest.approx(1e-3)
    assert model.compute_decode_seconds(2, 0) == pytest.approx(46e-3)
