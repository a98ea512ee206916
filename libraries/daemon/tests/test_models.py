"""Tests of model requests against a simulated engine in the same process."""

import asyncio
from dataclasses import replace

import pytest

from tarragonward_config import Settings, build_state, hash_token
from tarragonward_core import Address, ResultCode
from tarragonward_daemon.app import Daemon
from tarragonward_daemon.completions import Completion
from tarragonward_daemon.model_run import ModelRun
from tarragonward_placement import Placement, PlacementPolicy
from tarragonward_standins.engine import EngineStandIn
from tarragonward_standins.engine_model import EngineSizes

NOWHERE = Address("127.0.0.1", 1)
COMPLETION = Completion("m", "bay 4", 2, 400, True, False, None)


class BlockedSink:
    was_called = False

    def set_target(self, target):
        pass

    async def async_deliver(self, text, tokens):
        self.was_called = True
        await asyncio.Event().wait()


@pytest.fixture
async def engine():
    engine = EngineStandIn(Address("127.0.0.1", 0), EngineSizes())
    await engine.async_setup()
    yield engine
    await engine.async_unload()


@pytest.fixture
async def daemon(engine):
    settings = Settings(
        "a", "r", "north", NOWHERE, NOWHERE, NOWHERE, (NOWHERE,), (NOWHERE,),
        b"k" * 32, "t",
    )  # fmt: skip
    daemon = Daemon(settings)
    target = {
        "kind": "engine",
        "address": str(engine.address),
        "failure_domain": "north",
        "models": ["m"],
        "kv_tokens": 400_000,
        "checks_fencing": True,
    }
    document = {
        "client_accounts": {"x": {"token_sha256": [hash_token("x")], "weight": 1.0}},
        "models": {"m": {"context_tokens": 10_000}},
        "services": {},
        "targets": {"engine": target},
    }
    daemon.host.configuration_state = build_state(0, 0, document)
    daemon.models.placement = Placement(policy=PlacementPolicy(uses_admission=False))
    await daemon.models.async_setup()
    yield daemon
    await daemon.models.async_unload()
    await daemon.releases.async_unload()


async def test_a_caller_that_stops_reading_does_not_keep_an_engine_busy(daemon, engine):
    """A caller stops reading a long answer but keeps its connection open.

    Delivery blocks for good. The request must still end at its deadline, and its
    stream on the engine must be cancelled before the answer is complete.
    """
    loop = asyncio.get_running_loop()
    account = daemon.host.configuration.client_accounts["x"]
    deadline = loop.time() + 0.5
    sink = BlockedSink()
    running = daemon.models.async_run("r", account, COMPLETION, deadline, sink)
    async with asyncio.timeout(2):
        end = await running
        while engine.model.running:
            await asyncio.sleep(0.01)
    assert sink.was_called
    assert end.code is ResultCode.DEADLINE_EXCEEDED
    assert daemon.models.active_streams == set()


@pytest.mark.parametrize(("requested", "expected"), [(None, 5), (0, 0), (-1, -1)])
async def test_a_requests_priority_overrides_its_accounts(daemon, requested, expected):
    account = replace(daemon.host.configuration.client_accounts["x"], priority=5)
    completion = replace(COMPLETION, priority=requested)
    run = ModelRun(daemon.models, "r", account, completion, 1.0, BlockedSink())
    assert run.build_placement_request(1, 0.0).priority == expected


async def test_evacuated_engine_gets_no_new_work(daemon, engine):
    """The order is a part of the configuration; what runs there must not be cut off."""
    running = daemon.host.configuration.targets["engine"]
    document = daemon.host.configuration_state.document
    order = {**document, "evacuated_failure_domains": ["north"]}
    daemon.host.configuration_state = build_state(1, 1, order)
    assert daemon.models.get_engines("m") == []
    assert not daemon.models.is_leaving(running)
    assert daemon.host.evacuated_domains == {"north"}
    daemon.host.configuration_state = build_state(2, 2, document)
    assert daemon.models.get_engines("m") == [running]
    assert not daemon.host.evacuated_domains
