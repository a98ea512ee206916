"""A gateway's forwarder in this process, with scripted targets."""

import asyncio
import socket
import time
from dataclasses import replace

import pytest
from absl import logging

from tarragonward_core import Address, event_log
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths, ReservationAnswer
from tarragonward_gateway.app import _build_limits
from tarragonward_gateway.forwarder import Forwarder
from tarragonward_gateway.reservations import ReservationTask
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_gateway.targets import TargetChooser
from tarragonward_membership import RegisteredTarget
from tarragonward_routes import (
    Account,
    CallerLimits,
    EngineModel,
    RequestKind,
    Route,
    RoutingTable,
    Service,
    Share,
)
from tarragonward_standins import RawCaller, ScriptedTarget
from tarragonward_wire import HttpServer

LOCAL = Address("127.0.0.1", 0)
ENGINE = EngineModel(
    slots=8,
    memory_tokens=450_000,
    stride_steps=46,
    chunk_tokens=2_048,
    step_seconds=0.000925,
    seconds_per_decoding_request=0.00001,
    seconds_per_context_token=2.54e-9,
    prefill_tokens_per_second=256_000.0,
    seconds_per_token_pair=9.17e-11,
)
STREAM = {
    "kind": RequestKind.STREAM,
    "is_resumable": True,
    "aim_seconds": 3.0,
    "pause_aim_seconds": 0.8,
}


class OrderedRandom:
    """Replace the host's random generator, so that targets are tried in order."""

    def __init__(self):
        self._draws = 0

    def random(self):
        self._draws += 1
        return self._draws / 1_000_000


class RefusingReservationClient:
    """A reservation client whose targets refuse all reservations."""

    async def async_reserve(self, reservation, timeout):
        """Refuse."""
        return ReservationAnswer(False)

    async def async_release(self, reservation, timeout):
        """Confirm, as nothing is reserved."""
        return True


class Site:
    """A forwarding host whose routing table and targets are set by the test."""

    def __init__(self, **route):
        settings = GatewaySettings(
            "h1", "d1", LOCAL, LOCAL, LOCAL, LOCAL, (), LOCAL, Bounds()
        )
        self.state = GatewayState(settings, HeaderNames(), Paths())
        self.state.random = OrderedRandom()
        self.state.table_confirmed_at = float("inf")
        self.chooser = TargetChooser(self.state, time.monotonic)
        self.forwarder = Forwarder(
            self.state,
            self.chooser,
            ReservationTask(self.state, RefusingReservationClient()),
        )
        self.server = HttpServer(
            LOCAL, self.forwarder.async_handle, check_head=self.forwarder.check_head
        )
        self.targets = []
        self.version = 0
        self.set_table(**route)

    def set_table(self, limits=None, **route):
        """Put a table with one route in force."""
        self.version += 1
        options = {
            "kind": RequestKind.IDEMPOTENT,
            "attempts": 2,
            "timeout_seconds": 5.0,
            **route,
        }
        table = RoutingTable(
            self.version,
            (Route("r", "app.example", "/app/", shares=(Share("s", 1),), **options),),
            {"s": Service("s", 100, health_path="/health")},
            limits or CallerLimits(),
            {"k1": Account("town")},
            needs_key=True,
        )
        self.state.install_table(table)
        self.server.limits = _build_limits(table.limits)

    async def async_add(self, script, **options):
        """Register a target; the first one added is tried first."""
        target = ScriptedTarget(script, f"t{len(self.targets)}", **options)
        await target.async_setup()
        self.targets.append(target)
        self.state.registry.apply(
            RegisteredTarget(
                target.id, "s", target.address, "d1", 8, True, len(self.targets)
            )
        )
        return target

    @property
    def runs(self):
        """Return how many requests reached the targets."""
        return sum(len(target.requests) for target in self.targets)

    async def async_ask(self, method="GET", path="/app/x", **options):
        """Send one request and return its answer."""
        caller = await RawCaller.async_open(self.server.address)
        caller.send(method, path, **options)
        answer = await caller.async_read_answer(method)
        caller.writer.close()
        return answer

    async def async_ask_prompt(self, tokens):
        """Send a prompt with token counts ("prompt,output"); return its answer."""
        return await self.async_ask("POST", lines=[f"X-Tokens: {tokens}"])


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that are logged, as a list that grows."""
    written = []
    monkeypatch.setattr(event_log, "write", lambda data: written.append(data) or True)
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.INFO)
    yield written
    logging.set_verbosity(verbosity)


@pytest.fixture
async def make_site():
    sites = []

    async def async_make(*scripts, **route):
        site = Site(**route)
        sites.append(site)
        await site.server.async_setup()
        for script in scripts:
            await site.async_add(script)
        return site

    yield async_make
    for site in sites:
        await site.server.async_unload()
        for target in site.targets:
            await target.async_unload()


@pytest.fixture
def make_engines(make_site):
    """Return a function that makes a site whose targets are engines."""

    async def async_make(*scripts, **route):
        site = await make_site(*scripts, **{**STREAM, **route})
        table = site.state.table
        service = replace(table.services["s"], engine=ENGINE)
        site.state.table = replace(table, services={"s": service})
        return site

    return async_make


PEER_HOSTS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


@pytest.fixture
def build_peer_state():
    """Return a function that builds the state of one of three hosts, by number."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind((PEER_HOSTS[0], 0))
        port = probe.getsockname()[1]

    def build(number):
        host = PEER_HOSTS[number]
        settings = GatewaySettings(
            name=f"host-{number}",
            failure_domain="domain",
            callers=Address(host, 1),
            health=Address(host, 2),
            control=Address(host, 3),
            peers=Address(host, port),
            seeds=(Address(PEER_HOSTS[0], 3),),
            source=Address(host, 4),
            bounds=Bounds(),
        )
        return GatewayState(settings, HeaderNames(), Paths())

    return build


@pytest.fixture
def wait_for():
    """Return a function that waits until a condition is met."""

    async def async_wait(is_met):
        async with asyncio.timeout(10.0):
            while not is_met():
                await asyncio.sleep(0.01)

    return async_wait
