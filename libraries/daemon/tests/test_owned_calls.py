"""Tests of calls that their owner sends, in one process."""

import asyncio
import time
from types import SimpleNamespace

import pytest

from tarragonward_config import parse_configuration
from tarragonward_core import (
    Address,
    Conclusion,
    HostIdentity,
    Metrics,
    RequestRefusedError,
    ResultCode,
)
from tarragonward_daemon.calls import ServiceCall, translate_refusal
from tarragonward_daemon.owned_calls import OwnedCalls
from tarragonward_requests import mint_key_prefix, parse_key
from tarragonward_standins import ServiceStandIn

OWN_IDENTITY = HostIdentity(Address("127.0.0.1", 1), 1)
SECRET = b"s" * 32


def build_configuration(addresses):
    targets = {
        f"app-{number}": {
            "kind": "service",
            "address": str(address),
            "failure_domain": "north",
            "service": "approvals",
        }
        for number, address in enumerate(addresses)
    }
    operations = {"approve": {"idempotent": False, "not_run_statuses": [429]}}
    return parse_configuration(
        {
            "client_accounts": {},
            "models": {},
            "services": {"approvals": {"operations": operations}},
            "targets": targets,
        }
    )


class Owner:
    """An OwnedCalls that sends to a simulated service."""

    def __init__(self, service, addresses):
        self.service = service
        self.configuration = build_configuration(addresses)
        limits = SimpleNamespace(key_retention_seconds=60.0)
        host = SimpleNamespace(
            get_connector=lambda target: None,
            settings=SimpleNamespace(limits=limits),
            configuration=self.configuration,
            metrics=Metrics(),
            enter_request=lambda: None,
            leave_request=lambda: None,
        )
        self.calls = OwnedCalls(host, self.configuration.get_service_targets)
        prefix = mint_key_prefix(OWN_IDENTITY, self.calls.choose_mint_time(), SECRET)
        self.key = parse_key(f"{prefix}.1", SECRET)

    async def async_run(self, limit=5.0, body=b"combine", operation="approve"):
        deadline = asyncio.get_running_loop().time() + limit
        call = ServiceCall("camara", "approvals", operation, "", body, deadline)
        return await self.calls.async_run(call, self.key)

    @property
    def runs(self):
        return self.service.runs.total()


@pytest.fixture
async def service():
    service = ServiceStandIn(Address("127.0.0.1", 0))
    await service.async_setup()
    yield service
    await service.async_unload()


@pytest.fixture
async def owner(service):
    return Owner(service, [service.address])


async def test_a_pause_between_connecting_and_writing_sends_nothing(owner, monkeypatch):
    """The owner is paused between connecting and writing, until after the deadline.

    It must check the time again, without an await before the write. Otherwise the
    service could run a call that was answered "not run".
    """
    loop = asyncio.get_running_loop()
    connect, pauses = loop.create_connection, []

    async def async_connect_then_pause(*arguments):
        connection = await connect(*arguments)
        pauses.append(arguments)
        time.sleep(0.4)
        return connection

    monkeypatch.setattr(loop, "create_connection", async_connect_then_pause)
    reply = await owner.async_run(limit=0.3)
    monkeypatch.undo()
    assert pauses
    assert reply.code in (ResultCode.CALL_NOT_RUN, ResultCode.IN_PROGRESS)
    await asyncio.sleep(0.1)
    assert (await owner.async_run()).code is ResultCode.CALL_NOT_RUN
    assert owner.runs == 0


async def test_the_next_target_gets_the_call_if_one_is_down(service):
    owner = Owner(service, [Address("127.0.0.1", 1), service.address])
    assert (await owner.async_run()).code is ResultCode.OK
    assert owner.runs == 1


async def test_a_call_without_a_reachable_target_never_runs(service):
    owner = Owner(service, [Address("127.0.0.1", 1)])
    reply = await owner.async_run()
    assert reply.code is ResultCode.CALL_NOT_RUN and reply.retry_after_seconds
    assert (await owner.async_run()).code is ResultCode.CALL_NOT_RUN


async def test_a_call_refused_with_a_not_run_status_never_runs(owner):
    reply = await owner.async_run(body=b"refuse")
    assert reply.code is ResultCode.TARGET_REFUSED
    assert (await owner.async_run(body=b"refuse")).code is ResultCode.TARGET_REFUSED
    assert owner.runs == 0


async def test_a_call_of_a_removed_operation_never_runs(owner):
    reply = await owner.async_run(operation="withdrawn")
    assert reply.code is ResultCode.UNKNOWN_SERVICE
    assert (await owner.async_run()).code is ResultCode.KEY_REUSED


async def test_an_unexpected_error_while_sending_ends_the_call(owner, monkeypatch):
    def fail(service):
        raise RuntimeError("unexpected")

    monkeypatch.setattr(owner.calls, "_get_targets", fail)
    assert (await owner.async_run()).code is ResultCode.CALL_NOT_RUN
    assert owner.calls.ledger.in_flight == 0


async def test_concurrent_copies_run_once_and_get_the_same_answer(owner):
    owner.service.delay_seconds = 0.1
    replies = await asyncio.gather(*(owner.async_run() for _ in range(50)))
    assert {reply.code for reply in replies} == {ResultCode.OK}
    assert len({reply.answer.body for reply in replies}) == 1
    assert owner.runs == 1


@pytest.mark.parametrize("code", [ResultCode.DRAINING, ResultCode.NOT_READY])
def test_a_refusal_without_a_key_lookup_is_not_answered_not_run(code):
    """A draining or starting host refuses the repeat of a booking that has run.

    If it answered "not run", the caller would book again with a new key.
    """
    refusal = RequestRefusedError(code)
    assert translate_refusal(refusal, has_key=False).code is code
    keyed = translate_refusal(refusal, has_key=True)
    assert keyed.code.conclusion is Conclusion.UNKNOWN
    assert keyed.retry_after_seconds
