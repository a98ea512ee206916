"""Stand-in for the platform's metadata store, with faults."""

from __future__ import annotations

import asyncio
import base64
import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

import orjson

from tarragonward_core import Address

from .fault_proxy import FaultProxy
from .platform_http import (
    PlainRequest,
    PlainServer,
    build_head,
    reset_connection,
)

__all__ = ["PlatformStore", "StoreEndpoint", "StoreFault"]

PAGE_ITEMS = 50
MAX_WAIT_MS = 30_000
MILLISECONDS = 1_000
STALE_READ_COST = 0.1
FIRST_REVISION = 100


class StoreFault(Enum):
    """A fault that affects calls to the store."""

    NONE = "none"
    REFUSES = "503 for all"
    BUSY = "429 for all"
    RESETS = "connections are reset"
    SILENT = "calls are taken, and nothing comes back"
    SLOW = "answers take long"
    LOSES_ANSWERS = "some answers are lost, with their connections"


@dataclass(frozen=True)
class _Item:
    key: str
    revision: int
    created: int
    value: bytes | None

    def to_json(self) -> dict[str, Any]:
        if self.value is None:
            return {"key": self.key, "revision": self.revision, "tombstone": True}
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode("ascii"),
            "revision": self.revision,
            "createRev": self.created,
            "lease": 0,
        }


@dataclass(eq=False)
class StoreEndpoint:
    """An address of the store, with faults of its own; each host has one."""

    store: PlatformStore
    fault: StoreFault = StoreFault.NONE
    server: PlainServer = field(init=False)
    proxy: FaultProxy = field(init=False)

    def __post_init__(self) -> None:
        self.server = PlainServer(self._async_handle)

    @property
    def address(self) -> Address:
        """Return the address of its fault proxy."""
        return self.proxy.address

    async def async_setup(self) -> None:
        """Start listening."""
        await self.server.async_setup()
        self.proxy = FaultProxy(Address(self.server.host, 0), self.server.address)
        await self.proxy.async_setup()

    async def async_unload(self) -> None:
        """Stop listening."""
        await self.server.async_unload()
        await self.proxy.async_unload()

    async def _async_handle(
        self, request: PlainRequest, writer: asyncio.StreamWriter
    ) -> bool:
        store = self.store
        for fault in (store.fault, self.fault):
            if not await _async_apply_fault(fault, store, writer):
                return False
        status, payload = await store.async_call(request)
        loses = StoreFault.LOSES_ANSWERS in (store.fault, self.fault)
        if loses and store.random.random() < store.answer_loss_rate:
            await asyncio.Event().wait()
        _write_json(writer, status, payload, store.epoch)
        return True


async def _async_apply_fault(
    fault: StoreFault, store: PlatformStore, writer: asyncio.StreamWriter
) -> bool:
    if fault is StoreFault.REFUSES:
        _write_json(writer, 503, {}, store.epoch)
        return False
    if fault is StoreFault.BUSY:
        _write_json(writer, 429, {}, store.epoch)
        return False
    if fault is StoreFault.RESETS:
        reset_connection(writer)
        return False
    if fault is StoreFault.SILENT:
        await asyncio.Event().wait()
    if fault is StoreFault.SLOW:
        await asyncio.sleep(store.random.uniform(0.3, 1.2))
    return True


def _write_json(
    writer: asyncio.StreamWriter, status: int, payload: Any, epoch: int
) -> None:
    body = orjson.dumps(payload)
    head = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Store-Era", str(epoch)),
    ]
    writer.write(build_head(status, head) + body)


class PlatformStore:
    """Key-value store with a revision counter and a change history to watch."""

    def __init__(self, seed: int = 1, reads_per_second: float = 2_000.0) -> None:
        self.random = random.Random(seed)
        self.fault = StoreFault.NONE
        self.answer_loss_rate = 0.35
        self.reads_per_second = reads_per_second
        self.calls = 0.0
        self.revision = FIRST_REVISION
        # Rises each time the store comes back from a copy.
        self.epoch = 1
        self.on_restored: list[Callable[[], None]] = []
        self._log: list[tuple[float, _Item]] = []
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._history_from = self.revision
        self._changed = asyncio.Event()
        self._recent_calls: deque[float] = deque()
        self._endpoints: list[StoreEndpoint] = []
        self._calls_by_path: dict[
            str, Callable[[dict[str, str]], Awaitable[tuple[int, Any]]]
        ] = {
            "/kv-key": self._async_get,
            "/kv-range": self._async_list,
            "/kv-watch": self._async_watch,
        }

    async def async_add_endpoint(self) -> StoreEndpoint:
        """Listen on another address."""
        endpoint = StoreEndpoint(self)
        await endpoint.async_setup()
        self._endpoints.append(endpoint)
        return endpoint

    async def async_unload(self) -> None:
        """Stop listening on all addresses."""
        for endpoint in self._endpoints:
            await endpoint.async_unload()

    def put(self, key: str, value: Any) -> int:
        """Write a document and return its revision."""
        self.revision += 1
        existing = self._items.get(key)
        created = existing.created if existing is not None else self.revision
        self._record(_Item(key, self.revision, created, orjson.dumps(value)))
        return self.revision

    def delete(self, key: str) -> None:
        """Remove a key; watchers get a tombstone."""
        if key in self._items:
            self.revision += 1
            self._record(_Item(key, self.revision, 0, None))

    def check_in(self, key: str, value: dict[str, Any]) -> None:
        """Write a runner's entry; a change of seq alone is no change to watch."""
        known = self._items.get(key)
        if known is not None and known.value is not None:
            written = orjson.loads(known.value)
            if {**written, "seq": 0} == {**value, "seq": 0}:
                self._items[key] = replace(known, value=orjson.dumps(value))
                return
        self.put(key, value)

    def restore_copy(self, age_seconds: float) -> None:
        """Go back to a copy of this age: later changes and their revisions are lost."""
        copied_at = asyncio.get_running_loop().time() - age_seconds
        self._log = [(at, item) for at, item in self._log if at <= copied_at]
        self._items.clear()
        for _, item in self._log:
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        revisions = (item.revision for _, item in self._log)
        self.revision = max(revisions, default=FIRST_REVISION)
        self._history = [i for i in self._history if i.revision <= self.revision]
        self._history_from = min(self._history_from, self.revision)
        self.epoch += 1
        self._changed.set()
        self._changed = asyncio.Event()
        for notify in self.on_restored:
            notify()

    def list_keys(self) -> list[str]:
        """Return the keys of all items."""
        return list(self._items)

    def drop_history(self) -> None:
        """Drop the change history; watches from an earlier revision get 410."""
        self._history.clear()
        self._history_from = self.revision

    def _record(self, item: _Item) -> None:
        if item.value is None:
            del self._items[item.key]
        else:
            self._items[item.key] = item
        self._history.append(item)
        self._log.append((asyncio.get_running_loop().time(), item))
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_call(self, request: PlainRequest) -> tuple[int, Any]:
        """Serve a read call; return its status and document."""
        call = self._calls_by_path.get(request.path)
        if call is None:
            return 404, {}
        query = request.query
        is_stale = query.get("allowStale") == "1"
        self.calls += STALE_READ_COST if is_stale else 1.0
        if not is_stale and not self._is_within_rate():
            return 429, {}
        return await call(query)

    def _is_within_rate(self) -> bool:
        now = asyncio.get_running_loop().time()
        while self._recent_calls and self._recent_calls[0] < now - 1.0:
            self._recent_calls.popleft()
        self._recent_calls.append(now)
        return len(self._recent_calls) <= self.reads_per_second

    async def _async_get(self, query: dict[str, str]) -> tuple[int, Any]:
        item = self._items.get(query.get("key", ""))
        if item is None:
            return 404, {"asOf": self.revision}
        return 200, {**item.to_json(), "asOf": self.revision}

    async def _async_list(self, query: dict[str, str]) -> tuple[int, Any]:
        after, prefix = query.get("after", ""), query.get("prefix", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key].to_json() for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return 200, {"items": page, "morePages": more, "asOf": self.revision}

    async def _async_watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query.get("after", "0"))
        wait = min(int(query.get("waitMs", "0")), MAX_WAIT_MS) / MILLISECONDS
        loop = asyncio.get_running_loop()
        give_up_at, epoch = loop.time() + wait, self.epoch
        while True:
            if self.epoch != epoch:
                return 503, {}
            if after < self._history_from or after > self.revision:
                return 410, {}
            events = self._list_changes(after, query.get("prefix", ""))
            if events or loop.time() >= give_up_at:
                return 200, {"events": events, "asOf": self.revision}
            try:
                async with asyncio.timeout_at(give_up_at):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _list_changes(self, after: int, prefix: str) -> list[dict[str, Any]]:
        return [
            item.to_json()
            for item in self._history
            if item.revision > after and item.key.startswith(prefix)
        ]
