"""Stand-ins for model runners that set memory aside; all in one process.

What PROTOCOL.md says of `reserve`, `release`, tickets, X-Helpers and the report: a
ticket is used while a request that names it runs, lasts `holdMs` from the last order
with its id, and stays when the request ends.
"""

from __future__ import annotations

import asyncio
import json
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from .http import Request, async_read_request, build_answer, build_head

NOT_RUN = {"X-Not-Run": "1"}
MAX_TICKETS = 64


@dataclass
class Ticket:
    """Memory that is set aside; times are the event loop's, in seconds."""

    id: str
    tokens: int
    made_at: float
    expires_at: float
    used_by: str = ""
    used_at: float | None = None
    use_ended_at: float | None = None
    ended_at: float | None = None
    ended_by: str = ""


class Engine:
    """One model runner."""

    def __init__(self, name: str, tokens: int, fleet: dict[str, Engine]) -> None:
        self.id = name
        self.tokens = tokens
        self.address = ""
        self.tickets: dict[str, Ticket] = {}
        self.past: list[Ticket] = []
        self.running: dict[str, int] = {}
        self.ran: list[dict[str, Any]] = []
        # The requests of which the answer is lost: they run, and nothing comes.
        self.lost: set[str] = set()
        self.run_seconds = 0.5
        self.huge_run_seconds = 0.5
        self.events = 16
        self._fleet = fleet
        self._server: asyncio.Server | None = None

    async def async_start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self._fleet[self.address] = self

    @property
    def free(self) -> int:
        """Return how much memory is free."""
        aside = sum(ticket.tokens for ticket in self.tickets.values())
        return self.tokens - aside - sum(self.running.values())

    def expire(self) -> None:
        """End the tickets whose time is over."""
        now = asyncio.get_running_loop().time()
        for ticket in list(self.tickets.values()):
            if ticket.expires_at <= now:
                self._end(ticket, ticket.expires_at, "expired")

    def _end(self, ticket: Ticket, at: float, by: str) -> None:
        ticket.ended_at, ticket.ended_by = at, by
        self.past.append(self.tickets.pop(ticket.id))

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = await async_read_request(reader)
            if request is not None:
                self.expire()
                await self._async_answer(request, reader, writer)
                await writer.drain()
        writer.close()

    async def _async_answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = request.headers
        echo = {"X-Request-Id": headers.get("x-request-id", ""), "Connection": "close"}
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(build_answer(421, b"", {**echo, "X-Instance-Id": self.id}))
        elif request.path == "/report":
            writer.write(build_answer(200, self._report(), echo))
        elif request.path == "/order":
            status, document = self._order(json.loads(request.body))
            writer.write(build_answer(status, json.dumps(document).encode(), echo))
        elif request.path == "/health":
            writer.write(build_answer(200, b"", {**echo, "X-Instance-Id": self.id}))
        else:
            await self._async_run(request, echo, reader, writer)

    def _report(self) -> bytes:
        now = asyncio.get_running_loop().time()
        tickets = [
            {
                "id": ticket.id,
                "tokens": ticket.tokens,
                "state": "used" if ticket.used_by else "held",
                "ageMs": int((now - ticket.made_at) * 1_000),
            }
            for ticket in self.tickets.values()
        ]
        document = {
            "stage": "hybrid",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": len(self.running),
            "kvUsed": self.tokens - self.free,
            "kvTotal": self.tokens,
            "handles": 0,
            "pace": 1.0,
            "tickets": tickets,
        }
        return json.dumps(document).encode()

    def _order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        now = asyncio.get_running_loop().time()
        known = self.tickets.get(order["id"])
        if order["op"] == "release":
            if known is not None:
                self._end(known, now, "released")
            return 200, {"free": self.free}
        if order["op"] != "reserve":
            return 400, {}
        until = now + order["holdMs"] / 1_000
        if known is not None:
            known.expires_at = until
            return 200, {"free": self.free}
        if order["tokens"] > self.tokens:
            return 400, {}
        if order["tokens"] > self.free or len(self.tickets) >= MAX_TICKETS:
            return 409, {"free": self.free}
        ticket = Ticket(order["id"], order["tokens"], now, until)
        self.tickets[ticket.id] = ticket
        return 200, {"free": self.free}

    def _find_tickets(self, helpers: str) -> list[tuple[Engine, Ticket]] | str:
        """Return the tickets that a request names, or the helper that lacks one."""
        found = []
        for part in filter(None, (each.strip() for each in helpers.split(","))):
            address, _, name = part.partition("/")
            engine = self._fleet.get(address)
            if engine is None:
                return address
            engine.expire()
            if name:
                ticket = engine.tickets.get(name)
                if ticket is None or ticket.used_by:
                    return address
                found.append((engine, ticket))
        return found

    async def _async_run(
        self,
        request: Request,
        echo: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        name = request.headers["x-request-id"]
        prompt = int(request.headers["x-token-counts"].split(",")[0])
        tickets = self._find_tickets(request.headers.get("x-helpers", ""))
        if isinstance(tickets, str):
            refusal = {**echo, **NOT_RUN, "At-Server": tickets}
            writer.write(build_answer(503, b"", refusal))
            return
        own = max(0, prompt - sum(ticket.tokens for _, ticket in tickets))
        if own > self.free:
            writer.write(build_answer(503, b"", {**echo, **NOT_RUN}))
            return
        loop = asyncio.get_running_loop()
        self.running[name] = own
        for _, ticket in tickets:
            ticket.used_by, ticket.used_at = name, loop.time()
        self.ran.append({"at": time.time(), "request": name, "at_runner": self.id})
        try:
            await self._async_write(name, bool(tickets), echo, writer)
        finally:
            del self.running[name]
            for _, ticket in tickets:
                ticket.used_by, ticket.use_ended_at = "", loop.time()
        if name in self.lost:
            # The answer is lost: nothing comes, and the connection stays.
            await reader.read()

    async def _async_write(
        self,
        name: str,
        is_huge: bool,
        echo: dict[str, str],
        writer: asyncio.StreamWriter,
    ) -> None:
        seconds = self.huge_run_seconds if is_huge else self.run_seconds
        if name in self.lost:
            await asyncio.sleep(seconds)
            return
        pause = seconds / 2 / self.events
        await asyncio.sleep(seconds / 2)
        head = {
            **echo,
            "Content-Type": "text/event-stream",
            "X-Response-Seal": f"seal.{self.id}.{name}",
            "Transfer-Encoding": "chunked",
        }
        writer.write(build_head(200, head))
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
