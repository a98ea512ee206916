"""Tests of what the adapter reads of zones: evacuations, cold starts and homes."""

import json

import pytest

from tarragonward_gateway import Record
from tarragonward_platform.documents import DocumentParser

PARSER = DocumentParser()
LIMITS = {
    "headerBytes": 1,
    "bodyBytes": 1,
    "headerTimeoutMs": 1,
    "idleTimeoutMs": 1,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/a/",
    "kind": "idempotent",
    "service": "s",
    "attempts": 1,
    "timeoutMs": 1000,
    "goalMs": 100,
    "priority": 0,
}
SERVICE = {"name": "s", "maxConns": 9, "healthPath": "/health"}


def parse_table(route=(), service=(), tenant=()):
    document = {
        "version": 1,
        "routes": [{**ROUTE, **dict(route)}],
        "services": [{**SERVICE, **dict(service)}],
        "limits": LIMITS,
        "tenants": [{"name": "town", "apiKeys": ["k"], **dict(tenant)}],
    }
    return PARSER.parse_table(Record("op/config", 1, json.dumps(document).encode()))


@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("op/evacuate/north-a", "north-a"),
        ("op/evacuate/a/b", "a/b"),
        ("op/evacuate/", None),
        ("op/evacuate", None),
        ("op/config", None),
        ("servers/op/evacuate/a", None),
        ("op/evacuate/" + "x" * 201, None),
    ],
)
def test_key_of_an_evacuation_names_its_domain(key, domain):
    assert PARSER.get_evacuated_domain(key) == domain


def test_services_publish_what_their_cold_targets_tolerate():
    service = parse_table(service={"coldS": 3.0, "coldPerS": 15}).services["s"]
    assert service.cold_seconds == 3.0
    assert service.cold_requests_per_second == 15.0


def test_services_without_cold_starts_limit_nothing():
    for entry in ({}, {"coldS": 0.0, "coldPerS": 0.0}, {"coldPerS": None}):
        assert parse_table(service=entry).services["s"].cold_requests_per_second == 0.0


@pytest.mark.parametrize("value", [-1, float("nan"), float("inf"), "many", []])
def test_table_with_a_rate_that_is_none_is_refused(value):
    table = parse_table(service={"coldPerS": value})
    assert table is None or not table.services["s"].cold_requests_per_second


def test_homes_of_routes_and_tenants():
    table = parse_table(
        route={"homeRegions": ["north"]}, tenant={"homeRegions": ["north", "south"]}
    )
    assert table.routes[0].home_regions == {"north"}
    assert table.find_account("k").home_regions == {"north", "south"}
    assert not parse_table().routes[0].home_regions
