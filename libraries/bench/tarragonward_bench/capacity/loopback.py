"""Measure over loopback what an exchange, a link and an HTTP read cost."""

from __future__ import annotations

import asyncio
import sys
import time
import tracemalloc
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from typing import Any

import tarragonward_daemon.gossip  # noqa: F401 (registers the messages)
from tarragonward_core import Address, HostIdentity, Metrics
from tarragonward_membership import Gossip
from tarragonward_standins import PlatformStandIn
from tarragonward_wire import PeerLinks, PeerServer, async_send_http

from .slopes import Slope

__all__ = ["ByteCount", "async_measure_loopback", "build_gossip", "count_bytes"]

KEY = b"capacity-capacity-capacity"
FIRST_PORT = 31_000
EXCHANGES = 400
EMPTY_DOCUMENT = {"client_accounts": {}, "models": {}, "services": {}, "targets": {}}
POLLS = (50, 100, 200)
PAYLOADS = (100, 300, 600)
LINKS = (10, 20, 40)
MICROSECONDS = 1e6


@dataclass
class ByteCount:
    """Bytes that this process's streams wrote and read."""

    written: int = 0
    read: int = 0


@contextmanager
def count_bytes() -> Iterator[ByteCount]:
    """Count what all asyncio streams of this process write and read."""
    count = ByteCount()
    write, feed = asyncio.StreamWriter.write, asyncio.StreamReader.feed_data

    def counted_write(self: asyncio.StreamWriter, data: bytes) -> None:
        count.written += len(data)
        write(self, data)

    def counted_feed(self: asyncio.StreamReader, data: bytes) -> None:
        count.read += len(data)
        feed(self, data)

    asyncio.StreamWriter.write = counted_write
    asyncio.StreamReader.feed_data = counted_feed
    try:
        yield count
    finally:
        asyncio.StreamWriter.write = write
        asyncio.StreamReader.feed_data = feed


async def async_measure_loopback(fit: Any) -> list[Slope]:
    """Return the slopes of exchanges, links and polls; fit makes a line of points."""
    cpu, size = await _async_measure_exchanges()
    poll_cpu, poll_bytes = await _async_measure_polls()
    list_bytes = await _async_measure_list_reads()
    links = [await _async_measure_links(n) for n in LINKS]
    return [
        fit("exchange_cpu", "payload byte", "us", cpu.__getitem__, PAYLOADS),
        fit("exchange_bytes", "payload byte", "B", size.__getitem__, PAYLOADS),
        fit("poll_cpu", "poll", "us", poll_cpu.__getitem__, POLLS),
        fit("poll_bytes", "poll", "B", poll_bytes.__getitem__, POLLS),
        fit("unchanged_list_bytes", "read", "B", list_bytes.__getitem__, POLLS),
        fit("link_memory", "link", "B", dict(zip(LINKS, links)).__getitem__, LINKS),
    ]


def build_gossip(payload: int) -> Gossip:
    """Return a probe whose digests take so many bytes."""
    return Gossip(1 << 40, 100, 0, "domain-1", 1_000, loads=bytes(payload))


@asynccontextmanager
async def _async_serve(port: int) -> AsyncIterator[Address]:
    identity = HostIdentity(Address("127.0.0.1", port), port)

    async def async_answer(_: HostIdentity, message: Any) -> Any:
        return message

    server = PeerServer(identity, KEY, async_answer, Metrics())
    await server.async_setup()
    try:
        yield identity.address
    finally:
        await server.async_unload()


async def _async_measure_exchanges() -> tuple[dict[int, float], dict[int, float]]:
    """Return processor time and bytes of one exchange, both ends together."""
    cpu, size = {}, {}
    own = HostIdentity(Address("127.0.0.1", FIRST_PORT), 1)
    async with _async_serve(FIRST_PORT + 1) as address:
        links = PeerLinks(own, KEY)
        for payload in PAYLOADS:
            message = build_gossip(payload)
            await links.async_ask(address, message, 5.0)
            begin = time.process_time()
            with count_bytes() as count:
                for _ in range(EXCHANGES):
                    await links.async_ask(address, message, 5.0)
            seconds = time.process_time() - begin
            cpu[payload] = seconds / EXCHANGES * MICROSECONDS
            size[payload] = count.written / EXCHANGES
        await links.async_unload()
    return cpu, size


async def _async_measure_polls() -> tuple[dict[int, float], dict[int, float]]:
    """Return processor time and bytes here of so many polls of an idle engine."""
    address = Address("127.0.0.1", FIRST_PORT + 2)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonward_standins.engine",
        "--address",
        str(address),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        assert process.stdout is not None
        await asyncio.wait_for(process.stdout.readline(), 20.0)
        cpu, size = {}, {}
        for polls in POLLS:
            begin = time.process_time()
            with count_bytes() as count:
                for _ in range(polls):
                    await async_send_http(
                        address, "GET", "/v1/load?held=0", timeout=5.0
                    )
            cpu[polls] = (time.process_time() - begin) * MICROSECONDS
            size[polls] = float(count.written + count.read)
        return cpu, size
    finally:
        process.kill()
        await process.wait()


async def _async_measure_list_reads() -> dict[int, float]:
    """Return the bytes of so many reads of a host list that has not changed."""
    platform = PlatformStandIn(Address("127.0.0.1", 0), EMPTY_DOCUMENT, [])
    await platform.async_setup()
    size = {}
    try:
        headers = {"accept-encoding": "gzip"}
        path = "/v1/hosts"
        answer = await async_send_http(
            platform.address, "GET", path, headers=headers, timeout=5.0
        )
        headers["if-none-match"] = answer.headers["etag"]
        for reads in POLLS:
            with count_bytes() as count:
                for _ in range(reads):
                    await async_send_http(
                        platform.address, "GET", path, headers=headers, timeout=5.0
                    )
            # Both ends are in this process, so what is written goes both ways.
            size[reads] = float(count.written)
    finally:
        await platform.async_unload()
    return size


async def _async_measure_links(links: int) -> float:
    """Return the Python memory of so many links, the outgoing ends and the others."""
    own = HostIdentity(Address("127.0.0.1", FIRST_PORT), 1)
    outgoing = []
    async with _async_serve(FIRST_PORT + 3) as address:
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(links):
            link = PeerLinks(own, KEY)
            await link.async_ask(address, build_gossip(300), 5.0)
            outgoing.append(link)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        for link in outgoing:
            await link.async_unload()
    return float(after - before)
