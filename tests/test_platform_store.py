"""The store's calls and documents, by a server that answers as told."""

import asyncio
import base64
import json
from contextlib import AsyncExitStack

import pytest

from tarragonward_core import Address
from tarragonward_gateway import HistoryLostError, Record, SourceError
from tarragonward_gateway.paged_read import PagedRead
from tarragonward_platform.documents import DocumentParser
from tarragonward_platform.store import StoreReader
from tarragonward_routes import RequestKind
from tarragonward_wire import HttpServer


def build_item(key, revision, value=b"{}"):
    return {
        "key": key,
        "revision": revision,
        "value": base64.b64encode(value).decode("ascii"),
    }


@pytest.fixture
async def make_reader():
    """Return a function that makes a reader of a store with these answers, in turn."""
    servers, asked = [], []

    async def async_make(*answers):
        left = list(answers)

        async def async_answer(request, responder):
            asked.append((request.path, request.query))
            status, payload = left.pop(0)
            await responder.async_send_json(status, payload)

        server = HttpServer(Address("127.0.0.1", 0), async_answer)
        await server.async_setup()
        servers.append(server)
        return StoreReader(server.address), asked

    yield async_make
    for server in servers:
        await server.async_unload()


async def test_pages_are_read_to_the_last_from_the_first_ones_revision(make_reader):
    """A change between two pages stands in neither; the watch must bring it.

    So the whole reading counts as of its first page: what came after is asked again.
    """
    first = {"items": [build_item("a", 3)], "morePages": True, "asOf": 9}
    second = {"items": [build_item("b", 11)], "morePages": False, "asOf": 12}
    reader, asked = await make_reader((200, first), (200, second))
    reading, read = PagedRead(), None
    while read is None:
        page = await reader.async_read_page(reading.get_after_key(0.0), 1.0)
        read = reading.add_page(page, 0.0)
    assert [record.key for record in read.records] == ["a", "b"]
    assert read.revision == 9
    assert [query.get("after") for _, query in asked] == [None, "a"]


async def test_a_watch_brings_values_and_withdrawals(make_reader):
    gone = {"key": "servers/i-1", "revision": 5, "tombstone": True}
    events = {"events": [build_item("op/config", 4, b"x"), gone], "asOf": 5}
    reader, asked = await make_reader((200, events))
    read = await reader.async_watch(3, 2.5, 1.0)
    assert read.records[0].value == b"x"
    assert read.records[1].value is None
    assert asked[0][1]["waitMs"] == "2500"


@pytest.mark.parametrize(
    ("status", "payload", "error"),
    [
        (410, {}, HistoryLostError),
        (429, {}, SourceError),
        (503, {}, SourceError),
        (200, {}, SourceError),
        (200, [], SourceError),
        (200, {"events": [7], "asOf": 1}, SourceError),
        (200, {"events": [{"key": "k", "revision": 1}], "asOf": 1}, SourceError),
        (200, {"events": [], "asOf": None}, SourceError),
    ],
)
async def test_what_cannot_be_used_is_a_fault_of_the_source(
    make_reader, status, payload, error
):
    reader, _ = await make_reader((status, payload))
    with pytest.raises(error):
        await reader.async_watch(3, 0.1, 1.0)


@pytest.fixture
async def open_trickle():
    """Return a function that starts a store whose answer comes in pieces."""
    async with AsyncExitStack() as stack:

        async def async_open(pieces, pause):
            async def async_answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                for piece in pieces:
                    writer.write(piece)
                    await asyncio.sleep(pause)

            server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
            stack.callback(server.close)
            return StoreReader(Address(*server.sockets[0].getsockname()[:2]))

        yield async_open


def build_pieces(count):
    events = [build_item("op/config", 4, b"x")]
    body = json.dumps({"events": events, "asOf": 5}).encode("ascii")
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode("ascii")
    size = len(body) // (count - 1) + 1
    return [head, *(body[at : at + size] for at in range(0, len(body), size))]


async def test_an_answer_that_keeps_coming_is_waited_for(open_trickle):
    """A host works by an old table, as the new one never reaches it whole.

    The table is large and the host's link thin: the answer of the watch begins in time
    and comes steadily, but takes longer than the store may be silent. Given up, all
    that came is read again, over the same link, with the same end.
    """
    reader = await open_trickle(build_pieces(8), 0.1)
    read = await reader.async_watch(3, 0.0, 0.3)
    assert read.records[0].value == b"x"
    assert read.age_seconds > 0.5


async def test_an_answer_that_stops_coming_is_given_up(open_trickle):
    reader = await open_trickle(build_pieces(8)[:4], 0.05)
    with pytest.raises(SourceError, match="bytes of it came"):
        await reader.async_watch(3, 0.0, 0.3)


async def test_a_store_that_is_not_there_is_a_fault_of_the_source():
    with pytest.raises(SourceError):
        await StoreReader(Address("127.0.0.1", 1)).async_read_page("", 0.5)


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "coldLeftMs": 250,
    "seq": 3,
}
ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/p/",
    "kind": "stream",
    "timeoutMs": 10000,
    "goalMs": 300,
    "priority": 1,
    "service": "s",
    "attempts": 2,
    "gapTargetMs": 200,
}
LIMITS = {
    "headerBytes": 1,
    "bodyBytes": 2,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 4000,
}
SERVICE = {"name": "s", "healthPath": "/health", "maxConns": 9}
TABLE = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "limits": LIMITS}


def parse_table(document):
    record = Record("op/config", 1, json.dumps(document).encode())
    return DocumentParser().parse_table(record)


def test_an_entry_of_a_runner_is_a_target():
    record = Record("servers/i-1", 4, json.dumps(ENTRY).encode())
    target = DocumentParser().parse_target(record)
    assert (target.id, target.revision, target.is_ready) == ("i-1", 4, False)
    assert target.address == Address("10.0.0.1", 80)
    assert target.cold_start_remaining_seconds == 0.25


def test_a_configuration_is_a_routing_table():
    table = parse_table(TABLE)
    route = table.select_route("h", "/p/x")
    assert route.kind is RequestKind.STREAM
    assert (route.timeout_seconds, route.pause_aim_seconds) == (10.0, 0.2)
    assert not table.needs_key
    assert table.limits.idle_seconds == 4.0


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits"])
def test_a_document_that_lacks_a_part_is_no_table(field):
    assert parse_table({k: v for k, v in TABLE.items() if k != field}) is None


def test_a_kind_that_is_not_known_is_no_table():
    assert parse_table({**TABLE, "routes": [{**ROUTE, "kind": "other"}]}) is None
