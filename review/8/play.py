"""Streams whose event ids increase by the tokens that an event holds."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

from stand import (
    BOUNDS,
    BROKEN,
    HELD,
    Client,
    Headers,
    Record,
    Runner,
    Site,
    async_read_body,
    build_configuration,
    build_message,
    describe_route,
    describe_service,
    is_troubled,
    run_case,
)

FOLDER = Path(__file__).resolve().parent
TOKENS_PER_EVENT = 46
EVENTS = 12
PAUSE_SECONDS = 0.05
CLIENTS = 9
TOLERATED = 3


class StreamRunner(Runner):
    """Streams events; the id of an event is that of its last token, or its number."""

    async def async_handle(
        self,
        first: str,
        headers: Headers,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream the events after the last one that the caller has."""
        if " /bay/" not in first:
            return await super().async_handle(first, headers, reader, writer)
        request_id = headers.get("x-request-id", "")
        await async_read_body(reader, headers)
        if headers.get("x-expect-instance", self.id) != self.id:
            refusal = {"X-Not-Run": "1", "X-Instance-Id": self.id}
            writer.write(build_message("HTTP/1.1 421 -", refusal))
            return True
        after = int(headers.get("last-event-id", 0))
        self.runs.append((time.monotonic(), request_id))
        self.record.write("run", request_id, "at", self.id, "after", after)
        lines = [
            "HTTP/1.1 200 -",
            f"X-Request-Id: {request_id}",
            f"X-Response-Seal: {self.id}.{request_id}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        step = TOKENS_PER_EVENT if is_troubled() else 1
        for number in range(1, EVENTS + 1):
            if number * step <= after:
                continue
            event = f"id: {number * step}\ndata: {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(PAUSE_SECONDS)
        writer.write(b"0\r\n\r\n")
        self.record.write("whole", request_id, "at", self.id)
        return True


async def async_play(folder: Path, record: Record) -> int:
    """Play the case; return its exit code."""
    site = Site(folder, record)
    await site.async_start()
    for zone in "abcabc":
        runner = StreamRunner(site.store, "planogram-llm", zone, record)
        site.runners.append(runner)
        await runner.async_start()
    for zone in "abc":
        lookups = Runner(site.store, "shelf-api", zone, record)
        site.runners.append(lookups)
        await lookups.async_start()
    more = {"resumable": True, "gapTargetMs": 200, "attempts": 2, "timeoutMs": 10000}
    routes = [
        describe_route("bay", "stream", "planogram-llm", **more),
        describe_route("facing", "idempotent", "shelf-api"),
    ]
    services = [describe_service("planogram-llm", 274), describe_service("shelf-api")]
    site.store.put("op/config", build_configuration(7, routes, services))
    try:
        await site.async_start_hosts()
        return await async_stream(site, record)
    finally:
        await site.async_stop()


async def async_stream(site: Site, record: Record) -> int:
    """Send streams on kept connections; return the exit code."""
    outcomes: Counter[str] = Counter()
    lost: set[str] = set()
    clients = [Client(site.hosts[n % len(site.hosts)], record) for n in range(CLIENTS)]
    await asyncio.sleep(BOUNDS["stableWindowMs"] / 1_000)

    async def async_send(client: Client) -> None:
        # A lookup first, so that the stream comes on a kept connection.
        await client.async_send("GET", "/facing/1")
        request_id, status, _, body = await client.async_send(
            "POST", "/bay/1", b"rewrite", 10_000
        )
        is_whole = status == 200 and body.count(b"\n\n") == EVENTS
        outcomes["whole" if is_whole else "cut"] += 1
        if not is_whole:
            lost.add(request_id)

    # Planned work: the settings are the same as before.
    for host in site.hosts:
        host.signal(signal.SIGHUP)
    record.write("SIGHUP to all hosts")
    until = time.monotonic() + BOUNDS["applyMs"] / 1_000 - 0.5
    while time.monotonic() < until:
        await asyncio.gather(*map(async_send, clients))
    for client in clients:
        client.close()
    passed_on = {each for runner in site.runners for _, each in runner.runs}
    count = len(lost & passed_on)
    record.write("streams:", dict(outcomes), "passed on and cut:", count)
    print(f"streams: {dict(outcomes)}, passed on and cut: {count}")
    return BROKEN if count > TOLERATED else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, async_play))
