"""Stand-in for the platform's metadata store: items, pages, watches."""

from __future__ import annotations

import asyncio
import base64
import json
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from .http import Request, async_read_request, build_answer

PAGE_ITEMS = 500
FIRST_REVISION = 100


@dataclass(frozen=True)
class Item:
    """An item as it was written; value None stands for its removal."""

    key: str
    value: bytes | None
    revision: int
    created: int

    def to_json(self) -> dict[str, Any]:
        """Return the item as the store shows it."""
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode("ascii"),
            "revision": self.revision,
            "createRev": self.created,
            "lease": 0,
        }


class Store:
    """The store; put() and remove() are what the operator and the runners do."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.items: dict[str, Item] = {}
        self.history: list[Item] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def async_start(self, host: str) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._async_serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, key: str, document: Any) -> None:
        """Write an item."""
        known = self.items.get(key)
        self.revision += 1
        created = known.created if known is not None else self.revision
        value = json.dumps(document).encode()
        self.items[key] = Item(key, value, self.revision, created)
        self._add(self.items[key])

    def remove(self, key: str) -> None:
        """Remove an item."""
        known = self.items.pop(key, None)
        if known is not None:
            self.revision += 1
            self._add(Item(key, None, self.revision, known.created))

    def _add(self, item: Item) -> None:
        self.history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await async_read_request(reader)) is not None:
                status, document = await self._async_answer(request)
                body = json.dumps(document).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(build_answer(status, body, headers))
                await writer.drain()
        writer.close()

    async def _async_answer(self, request: Request) -> tuple[int, Any]:
        query = request.query
        if request.path == "/kv-range":
            return 200, self._read_page(query)
        if request.path == "/kv-watch":
            return await self._async_watch(query)
        return 404, {}

    def _read_page(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        items = [self.items[key].to_json() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "morePages": more, "asOf": self.revision}

    async def _async_watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1_000
        while True:
            found = [
                item.to_json()
                for item in self.history
                if item.revision > after and item.key.startswith(prefix)
            ]
            left = until - loop.time()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()
