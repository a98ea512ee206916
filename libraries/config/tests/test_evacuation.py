"""Tests of failure domains that a published configuration evacuates."""

import pytest

from tarragonward_config import parse_configuration
from tarragonward_core import ConfigurationError

TARGET = {
    "kind": "service",
    "address": "127.0.0.1:1",
    "failure_domain": "north",
    "service": "approvals",
}
DOCUMENT = {
    "client_accounts": {},
    "models": {},
    "services": {"approvals": {"operations": {}}},
    "targets": {"a": TARGET, "b": {**TARGET, "failure_domain": "south"}},
}


def test_targets_of_an_evacuated_domain_are_known_as_such():
    found = parse_configuration({**DOCUMENT, "evacuated_failure_domains": ["north"]})
    assert found.is_evacuated(found.targets["a"])
    assert not found.is_evacuated(found.targets["b"])


def test_without_an_order_nothing_is_evacuated():
    found = parse_configuration(DOCUMENT)
    assert not found.evacuated_domains


@pytest.mark.parametrize("order", ["north", [7], [""], {"north": True}])
def test_malformed_order_is_refused_with_the_whole_configuration(order):
    """It is never applied in part: operators see the refusal before publishing."""
    with pytest.raises(ConfigurationError, match="evacuated_failure_domains"):
        parse_configuration({**DOCUMENT, "evacuated_failure_domains": order})
