"""Tests of the readiness of a host and of its log."""

import pytest

from tarragonward_core import Address
from tarragonward_gateway.health import HealthRoutes, NotReadyReason, ReadinessTask
from tarragonward_gateway.state import GatewayState
from tarragonward_membership import RegisteredTarget


@pytest.fixture
async def starting(make_site):
    """Return the state of a host without a table and without targets."""
    site = await make_site()
    state = GatewayState(site.state.settings, site.state.headers, site.state.paths)
    return state, site.state.table


def add_target(state):
    state.registry.apply(
        RegisteredTarget("t", "s", Address("127.0.0.1", 9), "d1", 8, True, 1)
    )


async def test_host_says_what_it_lacks_to_be_ready(starting):
    state, table = starting
    health = HealthRoutes(state)
    assert health.not_ready_reason is NotReadyReason.NO_TABLE
    state.install_table(table)
    assert health.not_ready_reason is NotReadyReason.NO_TARGETS
    add_target(state)
    assert health.is_ready
    state.is_draining = True
    assert health.not_ready_reason is NotReadyReason.DRAINING


async def test_reason_is_logged_until_the_host_is_ready(starting, lines):
    state, table = starting
    task = ReadinessTask(state, HealthRoutes(state))
    task.report()
    state.install_table(table)
    task.report()
    add_target(state)
    task.report()
    task.report()
    logged = b"".join(lines).decode()
    assert "reason=no_table" in logged
    assert "reason=no_targets" in logged
    assert logged.count("event=host_ready") == 1
    assert state.metrics.get_count("not_ready_reports") == 2
