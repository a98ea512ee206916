"""Tests of the store's requests and documents against a scripted server."""

import asyncio
import base64
import json
from contextlib import AsyncExitStack

import pytest

from tarragonward_core import Address
from tarragonward_gateway import (
    HistoryLostError,
    Record,
    SourceError,
    combine_revision,
)
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
    """Return a function that creates a reader of a store with these answers in turn."""
    servers, requests = [], []

    async def async_make(*answers):
        remaining = list(answers)

        async def async_answer(request, responder):
            requests.append((request.path, request.query))
            status, payload, *epoch = remaining.pop(0)
            headers = {"store-era": epoch[0]} if epoch else None
            await responder.async_send_json(status, payload, headers)

        server = HttpServer(Address("127.0.0.1", 0), async_answer)
        await server.async_setup()
        servers.append(server)
        return StoreReader(server.address), requests

    yield async_make
    for server in servers:
        await server.async_unload()


async def test_a_paged_read_counts_as_of_its_first_page(make_reader):
    """A change between two pages may be missing from both, so the watch must return it.

    The result therefore has the revision of its first page, and the watch starts there.
    """
    first = {"items": [build_item("a", 3)], "morePages": True, "asOf": 9}
    second = {"items": [build_item("b", 11)], "morePages": False, "asOf": 12}
    reader, requests = await make_reader((200, first), (200, second))
    paged_read, result = PagedRead(), None
    while result is None:
        page = await reader.async_read_page(paged_read.get_after_key(0.0), 1.0)
        result = paged_read.add_page(page, 0.0)
    assert [record.key for record in result.records] == ["a", "b"]
    assert result.revision == 9
    assert [query.get("after") for _, query in requests] == [None, "a"]


async def test_a_watch_returns_values_and_tombstones(make_reader):
    tombstone = {"key": "servers/i-1", "revision": 5, "tombstone": True}
    events = {"events": [build_item("op/config", 4, b"x"), tombstone], "asOf": 5}
    reader, requests = await make_reader((200, events))
    result = await reader.async_watch(3, 2.5, 1.0)
    assert result.records[0].value == b"x"
    assert result.records[1].value is None
    assert requests[0][1]["waitMs"] == "2500"


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
async def test_an_unusable_answer_raises_a_source_error(
    make_reader, status, payload, error
):
    reader, _ = await make_reader((status, payload))
    with pytest.raises(error):
        await reader.async_watch(3, 0.1, 1.0)


@pytest.fixture
async def open_slow_store():
    """Return a function that starts a store that sends its answer in chunks."""
    async with AsyncExitStack() as stack:

        async def async_open(chunks, pause_seconds):
            async def async_answer(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                for chunk in chunks:
                    writer.write(chunk)
                    await asyncio.sleep(pause_seconds)

            server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
            stack.callback(server.close)
            return StoreReader(Address(*server.sockets[0].getsockname()[:2]))

        yield async_open


def build_chunks(count):
    events = [build_item("op/config", 4, b"x")]
    body = json.dumps({"events": events, "asOf": 5}).encode("ascii")
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode("ascii")
    size = len(body) // (count - 1) + 1
    return [
        head,
        *(body[offset : offset + size] for offset in range(0, len(body), size)),
    ]


async def test_a_slow_answer_that_makes_progress_is_received(open_slow_store):
    """A large routing table takes longer over a slow link than the store may be silent.

    The answer of the watch starts in time and arrives steadily, so it is received to
    its end. If it were abandoned, the same read would start over on the same link and
    fail again, and the host would keep its outdated table.
    """
    reader = await open_slow_store(build_chunks(8), 0.1)
    result = await reader.async_watch(3, 0.0, 0.3)
    assert result.records[0].value == b"x"
    assert result.age_seconds > 0.5


async def test_an_answer_that_stalls_is_abandoned(open_slow_store):
    reader = await open_slow_store(build_chunks(8)[:4], 0.05)
    with pytest.raises(SourceError, match="bytes of it came"):
        await reader.async_watch(3, 0.0, 0.3)


async def test_an_unreachable_store_raises_a_source_error():
    with pytest.raises(SourceError):
        await StoreReader(Address("127.0.0.1", 1)).async_read_page("", 0.5)


RUNNER_ENTRY = {
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


def test_a_runner_entry_is_parsed_as_a_target():
    record = Record("servers/i-1", 4, json.dumps(RUNNER_ENTRY).encode())
    target = DocumentParser().parse_target(record)
    assert (target.id, target.revision, target.is_ready) == ("i-1", 4, False)
    assert target.address == Address("10.0.0.1", 80)
    assert target.cold_start_remaining_seconds == 0.25


def test_a_configuration_is_parsed_as_a_routing_table():
    table = parse_table(TABLE)
    route = table.select_route("h", "/p/x")
    assert route.kind is RequestKind.STREAM
    assert (route.timeout_seconds, route.pause_aim_seconds) == (10.0, 0.2)
    assert not table.needs_key
    assert table.limits.idle_seconds == 4.0


@pytest.mark.parametrize("field", ["version", "routes", "services", "limits"])
def test_a_document_that_lacks_a_section_is_rejected(field):
    assert parse_table({k: v for k, v in TABLE.items() if k != field}) is None


def test_a_route_of_unknown_kind_is_rejected():
    assert parse_table({**TABLE, "routes": [{**ROUTE, "kind": "other"}]}) is None


@pytest.mark.parametrize("value", [False, None, 0, 1, "false", "true", [True]])
def test_permissions_of_a_route_need_an_explicit_mark(value):
    """A value that is not true must not allow repeats, or requests without a key."""
    table = parse_table(
        {**TABLE, "routes": [{**ROUTE, "resumable": value, "public": value}]}
    )
    (route,) = table.routes
    assert not route.may_run_again
    assert not route.is_public


async def test_a_watch_that_spans_a_restoration_of_the_store_is_no_change(make_reader):
    """The new history may happen to have the revision, and lacks the lost changes."""
    events = {"events": [build_item("op/config", 9)], "asOf": 9}
    page = {"items": [build_item("a", 3)], "asOf": 8}
    reader, _ = await make_reader((200, page, "1"), (200, events, "2"))
    before = (await reader.async_read_page("", 1.0)).revision
    with pytest.raises(HistoryLostError):
        await reader.async_watch(before, 0.1, 1.0)


async def test_revisions_of_a_later_era_are_newer(make_reader):
    old = {"items": [build_item("a", 30)], "asOf": 30}
    new = {"items": [build_item("a", 12)], "asOf": 14}
    reader, requests = await make_reader((200, old, "1"), (200, new, "2"), (410, {}))
    before, after = [await reader.async_read_page("", 1.0) for _ in range(2)]
    assert before.revision < after.revision
    assert before.records[0].revision < after.records[0].revision
    with pytest.raises(HistoryLostError):
        await reader.async_watch(after.revision, 0.1, 1.0)
    assert requests[-1][1]["after"] == "14"


async def test_an_answer_of_an_earlier_era_is_not_used(make_reader):
    """It was on its way while the store came back, or this host heard of it first."""
    page = {"items": [build_item("a", 30)], "asOf": 30}
    events = {"events": [], "asOf": 30}
    reader, _ = await make_reader(
        (200, page, "2"), (200, page, "1"), (200, events, "2")
    )
    await reader.async_read_page("", 1.0)
    with pytest.raises(SourceError):
        await reader.async_read_page("", 1.0)
    with pytest.raises(SourceError):
        await reader.async_watch(combine_revision(3, 30), 0.1, 1.0)


@pytest.mark.parametrize("epoch", ["", "x", "-1", "1.5", "9" * 30])
async def test_an_answer_without_a_valid_era_counts_as_of_the_latest(
    make_reader, epoch
):
    """One malformed header must not make a host discard all that it knows."""
    page = {"items": [build_item("a", 30)], "asOf": 30}
    reader, _ = await make_reader((200, page, "2"), (200, page, epoch))
    pages = [await reader.async_read_page("", 1.0) for _ in range(2)]
    assert pages[0].revision == pages[1].revision == combine_revision(2, 30)
