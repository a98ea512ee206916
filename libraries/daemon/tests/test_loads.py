"""Tests of the limit of concurrent model loads."""

from types import SimpleNamespace

import pytest

from tarragonward_config import EngineOrderState, build_orders, parse_configuration
from tarragonward_core import TargetError
from tarragonward_daemon.loads import LoadGate

ENGINES = [f"engine-{n}" for n in range(4)]
DOCUMENT = {
    "client_accounts": {},
    "models": {"m": {"context_tokens": 1}},
    "services": {},
    "targets": {
        name: {
            "kind": "engine",
            "address": "127.0.0.1:9",
            "failure_domain": "north",
            "models": ["m"],
            "kv_tokens": 1,
        }
        for name in ENGINES
    },
    "weight_store": {"parallel_loads": 2},
}
CONFIGURATION = parse_configuration(DOCUMENT)
ORDERS = build_orders(CONFIGURATION, 7)
LOADED = EngineOrderState(7, ORDERS["engine-0"].build_body()["models"])


@pytest.fixture
def fleet():
    """Return the engines' reports, and the load gate of a host that reads them."""
    reports = dict.fromkeys(ENGINES)

    async def async_read(target):
        if reports[target.name] == "dead":
            raise TargetError(target.name)
        return reports[target.name]

    return reports, LoadGate(SimpleNamespace(configuration=CONFIGURATION), async_read)


async def async_list_allowed(gate):
    targets = CONFIGURATION.targets
    allowed = [await gate.async_may_load(targets[name], ORDERS) for name in ENGINES]
    return [
        name for name, is_allowed in zip(ENGINES, allowed, strict=True) if is_allowed
    ]


async def test_engines_that_loaded_or_died_free_their_slots(fleet):
    reports, gate = fleet
    assert await async_list_allowed(gate) == ENGINES[:2]
    reports["engine-0"] = LOADED
    reports["engine-1"] = "dead"
    assert await gate.async_may_load(CONFIGURATION.targets["engine-3"], ORDERS)


async def test_an_engine_that_restarts_without_weights_may_load_again(fleet):
    """An engine is recorded as loaded, then restarts without its weights.

    Orders with the same number must reach it again. If it were still recorded as
    loaded, it would get no slot and refuse all prompts until the next patch.
    """
    reports, gate = fleet
    reports.update(dict.fromkeys(ENGINES[:3], LOADED))
    assert await gate.async_may_load(CONFIGURATION.targets["engine-3"], ORDERS)
    reports["engine-0"] = None
    assert await gate.async_may_load(CONFIGURATION.targets["engine-0"], ORDERS)
