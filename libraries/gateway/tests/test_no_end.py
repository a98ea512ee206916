"""Tests that a host keeps serving after unexpected errors."""

import asyncio
import os
import resource
import socket
from contextlib import suppress

from tarragonward_core import Address, background
from tarragonward_gateway import HeaderNames, Paths
from tarragonward_gateway.peers import Peers
from tarragonward_gateway.publications import PublicationTask
from tarragonward_gateway.readers import PollingOrder
from tarragonward_gateway.settings import Bounds, GatewaySettings
from tarragonward_gateway.state import GatewayState
from tarragonward_placement import Evidence
from tarragonward_standins import answer_with, refuse_with
from tarragonward_wire import HttpServer

LOCAL = Address("127.0.0.1", 0)
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class FaultyReader:
    """A source whose calls raise an unexpected exception."""

    def __init__(self):
        self.asked = 0

    async def async_read_page(self, after, inactivity_timeout):
        self.asked += 1
        raise AttributeError("not an answer")

    async def async_watch(self, after, wait, inactivity_timeout):
        return await self.async_read_page("", inactivity_timeout)


def make_state():
    settings = GatewaySettings(
        "h1", "d1", LOCAL, LOCAL, LOCAL, LOCAL, (), LOCAL, Bounds()
    )
    return GatewayState(settings, HeaderNames(), Paths())


async def test_unexpected_error_neither_ends_nor_speeds_up_reads(
    monkeypatch,
):
    """The source sends something that is no document, and parsing it raises.

    The loop must continue, or the host would use its present table forever; and it must
    wait first, or it would query a faulty source as fast as it can.
    """
    monkeypatch.setattr(background, "RESTART_DELAY_SECONDS", 0.05)
    state, reader = make_state(), FaultyReader()
    task = PublicationTask(
        state, reader, None, Peers(state), lambda: PollingOrder(1, 0)
    )
    await task.async_setup()
    async with asyncio.timeout(5):
        while reader.asked < 3:
            await asyncio.sleep(0.01)
    await task.async_unload()
    assert state.metrics.get_count("background_failures") >= 2


async def test_listener_recovers_from_lack_of_file_descriptors():
    """Callers use up all file descriptors, and then disconnect.

    A listener that stopped at the first error of the kernel would never accept again:
    the process lives, its health check fails, and nothing says why.
    """
    server = HttpServer(LOCAL, answer_plainly)
    await server.async_setup()
    reported = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: reported.append(context))
    callers = [socket.socket() for _ in range(8)]
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    duplicates = exhaust_descriptors(limits[1])
    try:
        for caller in callers:
            caller.setblocking(False)
            await loop.sock_connect(caller, (server.address.host, server.address.port))
        async with asyncio.timeout(5):
            while not reported:
                await asyncio.sleep(0.01)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for duplicate in duplicates:
            os.close(duplicate)
    async with asyncio.timeout(10):
        for caller in callers:
            await loop.sock_sendall(caller, GET)
            assert (await loop.sock_recv(caller, 64)).startswith(b"HTTP/1.1 200")
            caller.close()
    await server.async_unload()


def exhaust_descriptors(hard_limit):
    """Lower the limit to the highest descriptor in use, and use up those below it."""
    highest = max(int(name) for name in os.listdir("/proc/self/fd"))
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest, hard_limit))
    duplicates = []
    with suppress(OSError):
        while True:
            duplicates.append(os.dup(0))
    return duplicates


async def answer_plainly(request, responder):
    await responder.async_send_json(200, {})


async def test_error_in_head_check_is_answered_and_host_serves_on(make_site):
    site = await make_site(answer_with())
    check = site.server.check_head

    def fail(head):
        site.server.check_head = check
        raise ZeroDivisionError("not foreseen")

    site.server.check_head = fail
    assert (await site.async_ask()).status == 500
    assert (await site.async_ask()).status == 200


async def test_target_that_refuses_connections_is_ejected(make_site):
    """The first target's port is closed; the second request must not try it again."""
    site = await make_site(answer_with(), answer_with())
    await site.targets[0].async_unload()
    assert (await site.async_ask()).status == 200
    assert site.chooser.target_health.ejected_count == 1
    assert (await site.async_ask()).status == 200
    assert len(site.targets[1].requests) == 2


async def test_prompt_without_plan_is_refused(make_site):
    """The planner finds no engines for a prompt while one of them is ejected."""
    site = await make_site(answer_with(), answer_with())
    site.chooser._choose_among = lambda ready, need: None
    ejected = site.state.registry.get_ready("s")[0]
    site.chooser.probes.record(ejected, Evidence.NOT_CONNECTED)
    answer = await site.async_ask()
    assert answer.status == 503
    assert not site.runs


async def test_target_whose_address_was_reused_is_ejected(make_site):
    """Targets crash, and new ones use their addresses before their records expire.

    Each answers 421, as the expected boot is gone. Being idle they are tried first, and
    would use up the attempts of prompts while other targets are free. It happens in
    deploy/days/replace_with_reuse.toml.
    """
    moved = refuse_with("421 Misdirected")
    site = await make_site(moved, moved, answer_with())
    await site.async_ask()
    assert site.chooser.target_health.ejected_count == 2
    assert (await site.async_ask()).status == 200
    assert len(site.targets[0].requests) == len(site.targets[1].requests) == 1


async def test_target_with_faulty_helper_is_not_ejected(make_site):
    names = ("X-Failed-Target: 127.0.0.1:9",)
    site = await make_site(refuse_with("421 Misdirected", names), answer_with())
    await site.async_ask()
    assert not site.chooser.target_health.ejected_count


async def test_unreachable_engine_is_ejected_before_joint_prefill(make_site):
    """The engines of a long prompt are probed first, and one cannot be reached.

    A failed probe must be recorded for the target itself. When its id was passed
    instead, such prompts were answered 500 (trouble-1 of shelfwise-jordan at 34 s).
    """
    site = await make_site(answer_with(), answer_with())
    await site.targets[0].async_unload()
    targets = site.state.registry.get_ready("s")
    assert not await site.chooser.probes.async_check(targets)
    assert site.chooser.target_health.ejected_count == 1
