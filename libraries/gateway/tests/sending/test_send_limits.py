"""Tests of which targets a host may send to, among many."""

import random

import pytest

from tarragonward_core import Address
from tarragonward_gateway.sending import SendLimits
from tarragonward_membership import RegisteredTarget, hash_name

COUNT = 3_000


@pytest.fixture
def targets():
    return [
        RegisteredTarget(f"t{n}", "s", Address("h", n + 1), "d", 8, True, 1)
        for n in range(COUNT)
    ]


@pytest.fixture
def limits():
    return SendLimits(random.Random(1), lambda service: 15.0)


def test_only_limited_targets_are_looked_at(limits, targets, monkeypatch):
    """With one cold target of thousands, each send cost milliseconds of a core."""
    looked_at = []
    is_within = limits._is_within_rates

    def record(target, now):
        looked_at.append(target.id)
        return is_within(target, now)

    monkeypatch.setattr(limits, "_is_within_rates", record)
    limits.cold.record(hash_name("t7"), 60.0, 0.0)
    limits.advertised.record_advertised(hash_name("t9"), 0.0, 0.0)
    selected = {target.id for target in limits.select(targets, 0.0)}
    assert sorted(looked_at) == ["t7", "t9"]
    assert len(selected) in (COUNT - 1, COUNT - 2)
    assert "t9" not in selected


def test_nothing_is_looked_at_while_nothing_is_limited(limits, targets, monkeypatch):
    monkeypatch.setattr(limits, "_is_within_rates", None)
    assert limits.select(targets, 0.0) is targets
