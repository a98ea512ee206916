"""Tests of serving records to peers and pulling them."""

import json
import random
import zlib

import msgpack
import pytest

from tarragonward_core import Address, FrameError
from tarragonward_gateway import GatewaySettings, HeaderNames, Paths, Record
from tarragonward_gateway import const as c
from tarragonward_gateway.record_exchange import RecordHandler, async_pull_records
from tarragonward_gateway.record_store import RecordBatch, RecordStore
from tarragonward_gateway.settings import Bounds
from tarragonward_gateway.state import GatewayState
from tarragonward_wire import HttpServer

ADDRESS = Address("127.0.0.1", 0)
ROUTES = 1_570


def build_table():
    names = random.Random(7)
    routes = [
        {"name": f"r-{names.getrandbits(32):x}", "host": "h", "prefix": f"/{n}/"}
        for n in range(ROUTES)
    ]
    return json.dumps(routes).encode()


@pytest.fixture
async def serving_peer():
    settings = GatewaySettings("h", "d", *[ADDRESS] * 4, (), ADDRESS, Bounds())
    record_store = RecordStore()
    routes = RecordHandler(GatewayState(settings, HeaderNames(), Paths()), record_store)
    server = HttpServer(ADDRESS, routes.async_handle)
    await server.async_setup()
    yield record_store, routes, server.address
    await server.async_unload()


async def test_large_table_is_sent_compressed(serving_peer):
    """An uncompressed large table would not arrive before the pull times out.

    A host on a thin link would keep its outdated table.
    """
    record_store, routes, address = serving_peer
    table = Record("table", 7, build_table())
    record_store.apply(RecordBatch((table,), 7, True), 0)
    given = await async_pull_records(address, 0)
    assert given.batch.records == (table,)
    assert len(routes._pack(0)) < len(table.value) / 2


async def test_records_beyond_the_decompressed_limit_are_refused():
    bomb = zlib.compress(bytes(c.MAX_RECORDS_BYTES + 1))

    async def async_answer(request, responder):
        body = msgpack.packb((c.RECORDS_FORMAT, 0, bomb))
        await responder.async_send_bytes(200, body, {})

    server = HttpServer(ADDRESS, async_answer)
    await server.async_setup()
    try:
        with pytest.raises(FrameError):
            await async_pull_records(server.address, 0)
    finally:
        await server.async_unload()
