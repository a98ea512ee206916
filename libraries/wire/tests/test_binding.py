"""Tests of binding the addresses of a starting host."""

import asyncio
import socket

import pytest

from tarragonward_core import Address
from tarragonward_wire import HttpServer, async_bind, binding


def take_port():
    """Return a socket that listens on a port of its own."""
    taken = socket.socket()
    taken.bind(("127.0.0.1", 0))
    taken.listen()
    return taken


def make_server(taken):
    async def async_handle(request, responder):
        await responder.async_send_json(200, {})

    return HttpServer(Address(*taken.getsockname()), async_handle)


async def test_address_that_is_taken_for_a_while_is_bound_later():
    """After a power loss another process had the port, and all hosts ended."""
    with take_port() as taken:
        server = make_server(taken)
        binding_task = asyncio.create_task(async_bind(server.async_setup))
        await asyncio.sleep(0.1)
        assert not binding_task.done()
    async with asyncio.timeout(5):
        await binding_task
    await server.async_unload()


async def test_address_that_stays_taken_is_given_up(monkeypatch):
    """The host must end at last, as whoever starts it again may know more."""
    monkeypatch.setattr(binding, "BIND_RETRY_LIMIT_SECONDS", 0.1)
    with take_port() as taken, pytest.raises(OSError):
        await async_bind(make_server(taken).async_setup)


async def test_stopping_host_binds_nothing():
    """A host that is told to stop while it starts must end."""
    with take_port() as taken, pytest.raises(OSError):
        await async_bind(make_server(taken).async_setup, lambda: True)
