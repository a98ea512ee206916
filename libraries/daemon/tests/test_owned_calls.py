"""Tests of the owner's sending of calls, in one process."""

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

ME = HostIdentity(Address("127.0.0.1", 1), 1)
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
    """An OwnedCalls with a service stand-in behind it."""

    def __init__(self, service, addresses):
        self.service = service
        self.configuration = build_configuration(addresses)
        limits = SimpleNamespace(key_retention_seconds=60.0)
        host = SimpleNamespace(
            settings=SimpleNamespace(limits=limits),
            configuration=self.configuration,
            metrics=Metrics(),
            enter_request=lambda: None,
            leave_request=lambda: None,
        )
        self.calls = OwnedCalls(host, self.configuration.get_service_targets)
        prefix = mint_key_prefix(ME, self.calls.choose_mint_time(), SECRET)
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
    """The owner is stopped right after its connection was made, past the limit.

    Woken, the next thing that it would do is write. It looks at the time first, with
    no await between, so the service never sees the call, and "not run" is true.
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


async def test_a_target_that_is_down_is_passed_over_for_the_next(service):
    owner = Owner(service, [Address("127.0.0.1", 1), service.address])
    assert (await owner.async_run()).code is ResultCode.OK
    assert owner.runs == 1


async def test_no_target_in_reach_is_not_run_for_good(service):
    owner = Owner(service, [Address("127.0.0.1", 1)])
    reply = await owner.async_run()
    assert reply.code is ResultCode.CALL_NOT_RUN and reply.retry_after_seconds
    assert (await owner.async_run()).code is ResultCode.CALL_NOT_RUN


async def test_a_declared_refusal_is_not_run_for_good(owner):
    reply = await owner.async_run(body=b"refuse")
    assert reply.code is ResultCode.TARGET_REFUSED
    assert (await owner.async_run(body=b"refuse")).code is ResultCode.TARGET_REFUSED
    assert owner.runs == 0


async def test_an_operation_withdrawn_meanwhile_is_not_run_for_good(owner):
    reply = await owner.async_run(operation="withdrawn")
    assert reply.code is ResultCode.UNKNOWN_SERVICE
    assert (await owner.async_run()).code is ResultCode.KEY_REUSED


async def test_a_fault_in_the_sending_ends_the_call(owner, monkeypatch):
    def fail(service):
        raise RuntimeError("a fault")

    monkeypatch.setattr(owner.calls, "_get_targets", fail)
    assert (await owner.async_run()).code is ResultCode.CALL_NOT_RUN
    assert owner.calls.ledger.in_flight == 0


async def test_many_copies_at_once_run_once_with_the_same_bytes(owner):
    owner.service.delay_seconds = 0.1
    replies = await asyncio.gather(*(owner.async_run() for _ in range(50)))
    assert {reply.code for reply in replies} == {ResultCode.OK}
    assert len({reply.answer.body for reply in replies}) == 1
    assert owner.runs == 1


@pytest.mark.parametrize("code", [ResultCode.DRAINING, ResultCode.NOT_READY])
def test_a_host_that_has_not_read_a_key_does_not_say_not_run_of_it(code):
    """A draining or starting host refuses the clerk's repeat of a booking that ran.

    Told "not run", the clerk would book again under a new key.
    """
    refusal = RequestRefusedError(code)
    assert translate_refusal(refusal, has_key=False).code is code
    keyed = translate_refusal(refusal, has_key=True)
    assert keyed.code.conclusion is Conclusion.UNKNOWN
    assert keyed.retry_after_seconds
