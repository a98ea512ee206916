"""Tests of the order in which a host shuts down."""

import asyncio
import socket
from contextlib import ExitStack

import pytest

from tarragonward_core import Address
from tarragonward_gateway import GatewaySettings, Records
from tarragonward_gateway import const as c
from tarragonward_gateway.app import Gateway
from tarragonward_gateway.settings import Bounds
from tarragonward_membership import RegisteredTarget
from tarragonward_routes import (
    Account,
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Share,
)
from tarragonward_standins import RawCaller, ScriptedTarget, answer_with, build_answer

IP = "127.0.0.9"
WAIT_SECONDS = 10.0
TABLE = RoutingTable(
    1,
    (
        Route(
            "r",
            "app.example",
            "/app/",
            RequestKind.IDEMPOTENT,
            attempts=1,
            timeout_seconds=60.0,
            shares=(Share("s", 1),),
        ),
    ),
    {"s": Service("s", 100)},
    CallerLimits(head_seconds=60.0),
    {"k1": Account("town")},
    needs_key=True,
)


class SilentSource:
    """A source that publishes nothing."""

    async def async_read_all(self, timeout):
        return Records((), 1)

    async def async_watch(self, after, wait, inactivity_timeout):
        await asyncio.Event().wait()


class NoOrders:
    """A reservation client that is never used."""


def find_ports(count):
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.bind((IP, 0))
        return [sock.getsockname()[1] for sock in sockets]


class Host:
    """A gateway in this process, with one scripted target."""

    def __init__(self, grace_seconds):
        addresses = [Address(IP, port) for port in find_ports(5)]
        settings = GatewaySettings(
            "h1",
            "d1",
            *addresses[:4],
            (),
            addresses[4],
            Bounds(grace_seconds=grace_seconds),
        )
        self.gateway = Gateway(settings, SilentSource(), None, NoOrders())
        self.running = None

    async def async_start(self, script):
        """Serve with a target that runs this script."""
        target = ScriptedTarget(script, "t0")
        await target.async_setup()
        state = self.gateway.state
        state.install_table(TABLE)
        self.gateway._apply_limits()
        state.registry.apply(
            RegisteredTarget("t0", "s", target.address, "d1", 8, True, 1)
        )
        self.running = asyncio.create_task(self.gateway.async_run())
        while True:
            try:
                return await self.async_open(), target
            except OSError:
                await asyncio.sleep(0.01)

    async def async_open(self):
        """Return a caller's new connection."""
        return await RawCaller.async_open(self.gateway.state.settings.callers)

    async def async_until(self, holds):
        """Wait until the condition holds."""
        async with asyncio.timeout(WAIT_SECONDS):
            while not holds():
                await asyncio.sleep(0.01)


@pytest.fixture
async def make_host():
    hosts = []

    def make(grace_seconds):
        hosts.append(Host(grace_seconds))
        return hosts[-1]

    yield make
    for host in hosts:
        host.running.cancel()
        await asyncio.gather(host.running, return_exceptions=True)


async def test_draining_host_admits_requests_until_balancer_notices(
    make_host, monkeypatch
):
    """The balancer sends requests until it has made two health checks.

    Until then requests on new and kept connections are served, and each answer closes
    its connection.
    """
    monkeypatch.setattr(c, "BALANCER_NOTICE_SECONDS", 40.0)
    host = make_host(60.0)
    kept, _ = await host.async_start(answer_with())
    kept.send()
    assert (await kept.async_read_answer()).get("connection") == []
    host.gateway.request_stop()
    await host.async_until(lambda: host.gateway.state.is_draining)
    for caller in (kept, await host.async_open()):
        caller.send()
        answer = await caller.async_read_answer()
        assert (answer.status, answer.get("connection")) == (200, ["close"])


async def test_draining_host_finishes_requests_in_progress(make_host, monkeypatch):
    """One request is at its target, and the connection of another caller is idle.

    The idle connection is closed, the answer is delivered completely, and only then
    does the host stop.
    """
    monkeypatch.setattr(c, "BALANCER_NOTICE_SECONDS", 0.0)
    may_continue = asyncio.Event()

    async def script(request, writer):
        await may_continue.wait()
        writer.write(build_answer(request))

    host = make_host(60.0)
    caller, target = await host.async_start(script)
    idle = await host.async_open()
    caller.send()
    await host.async_until(lambda: target.requests)
    host.gateway.request_stop()
    async with asyncio.timeout(WAIT_SECONDS):
        assert await idle.reader.read() == b""
    assert not host.running.done()
    may_continue.set()
    answer = await caller.async_read_answer()
    assert (answer.status, answer.body) == (200, b"whole")
    async with asyncio.timeout(WAIT_SECONDS):
        await host.running


async def test_drain_ends_within_grace_time(make_host, monkeypatch):
    """A target never answers; the host stops by itself before it would be killed."""
    monkeypatch.setattr(c, "BALANCER_NOTICE_SECONDS", 0.0)

    async def script(request, writer):
        await asyncio.Event().wait()

    host = make_host(0.6)
    caller, target = await host.async_start(script)
    caller.send()
    await host.async_until(lambda: target.requests)
    host.gateway.request_stop()
    async with asyncio.timeout(WAIT_SECONDS):
        await host.running
