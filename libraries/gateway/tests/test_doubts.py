"""Check which targets are left out after failures, and that they come back."""

import asyncio

from tarragonward_core import Address
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths
from tarragonward_gateway import const as c
from tarragonward_gateway.doubts import TargetDoubts
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_membership import RegisteredTarget
from tarragonward_placement import TargetReach
from tarragonward_requests import SendFault

LOCAL = Address("127.0.0.1", 0)
CLOSED = Address("127.0.0.1", 9)


def build(addresses):
    """Return the doubts of a host and targets, by their domain and address."""
    settings = GatewaySettings(
        "h1", "a", LOCAL, LOCAL, LOCAL, LOCAL, (), LOCAL, Bounds()
    )
    state = GatewayState(settings, HeaderNames(), Paths())
    targets = [
        RegisteredTarget(f"t{number}", "s", address, domain, 8, True, number + 1)
        for number, (domain, address) in enumerate(addresses)
    ]
    for target in targets:
        state.registry.apply(target)
    return TargetDoubts(state, TargetReach()), targets


def test_unreached_target_is_left_out_and_the_others_stay():
    doubts, targets = build([("a", CLOSED), ("a", CLOSED), ("b", CLOSED)])
    doubts.note_failed(targets[0], SendFault.NOT_CONNECTED)
    assert doubts.select(targets) == targets[1:]


def test_two_unreached_targets_put_their_domain_in_doubt():
    """Callers wait for one connection after the other while a domain is cut off.

    Two targets of domain a are tried and cannot be reached; the third is left out
    without being tried, as a cut reaches all of a domain.
    """
    doubts, targets = build([("a", CLOSED)] * 3 + [("b", CLOSED)])
    doubts.note_failed(targets[0], SendFault.NOT_CONNECTED)
    doubts.note_failed(targets[1], SendFault.NOT_CONNECTED)
    assert doubts.select(targets) == targets[3:]


def test_answer_between_two_failures_clears_the_domain():
    """Two targets that were taken away are no cut."""
    doubts, targets = build([("a", CLOSED)] * 4 + [("b", CLOSED)])
    doubts.note_failed(targets[0], SendFault.NOT_CONNECTED)
    doubts.note_answered(targets[2])
    doubts.note_failed(targets[1], SendFault.NOT_CONNECTED)
    assert doubts.select(targets) == targets[2:]


def test_all_in_doubt_are_all_tried():
    doubts, targets = build([("a", CLOSED), ("b", CLOSED)])
    for target in targets:
        doubts.note_failed(target, SendFault.NOT_CONNECTED)
    assert doubts.select(targets) == targets


def test_refusal_that_promises_not_run_is_no_doubt():
    """A full target is well; a helper that its leader could not reach is not."""
    doubts, targets = build([("a", CLOSED), ("b", CLOSED)])
    doubts.note_failed(targets[0], SendFault.NOT_RUN)
    assert doubts.select(targets) == targets
    doubts.note_gone("t1")
    doubts.note_gone("unknown")
    assert doubts.select(targets) == targets[:1]


async def test_target_comes_back_once_it_can_be_reached(monkeypatch):
    """No request is spent on trying: a connection without one is enough."""
    monkeypatch.setattr(c, "DOUBT_ROUND_SECONDS", 0.01)
    monkeypatch.setattr(c, "DOUBT_BASE_SECONDS", 0.02)
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    doubts, targets = build([("a", Address("127.0.0.1", port)), ("b", CLOSED)])
    for target in targets:
        doubts.note_failed(target, SendFault.NOT_CONNECTED)
    await doubts.async_setup()
    try:
        async with asyncio.timeout(5):
            while doubts.select(targets) != targets[:1]:
                await asyncio.sleep(0.01)
    finally:
        await doubts.async_unload()
        server.close()
        await server.wait_closed()
