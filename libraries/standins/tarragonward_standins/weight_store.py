"""Stand-in for the rate-limited weight store, over HTTP and as a model."""

from __future__ import annotations

import argparse
import asyncio
from contextlib import suppress
from dataclasses import dataclass

import orjson

from tarragonward_core import Address, TargetError
from tarragonward_wire import HttpRequest, HttpServer, Responder, async_send_http

from . import const as c
from .process import run_server

__all__ = ["WeightReader", "WeightStoreModel", "WeightStoreSizes", "WeightStoreStandIn"]

TICK_SECONDS = 0.02


@dataclass(frozen=True)
class WeightStoreSizes:
    """Bandwidth of the store and of each engine, in bytes per second."""

    store_bytes_per_second: float = 10e9
    engine_bytes_per_second: float = 2.5e9


class WeightStoreModel:
    """Concurrent loads share the store's bandwidth, each up to its engine's own."""

    def __init__(self, sizes: WeightStoreSizes) -> None:
        self._sizes = sizes
        self._remaining_bytes: dict[str, float] = {}

    @property
    def loading(self) -> frozenset[str]:
        """Return the engines that are loading."""
        return frozenset(self._remaining_bytes)

    def start(self, engine: str, size_bytes: float) -> None:
        """Start a load; idempotent while it runs."""
        self._remaining_bytes.setdefault(engine, size_bytes)

    def advance(self, seconds: float) -> list[str]:
        """Advance time and return the engines whose loads completed."""
        if not self._remaining_bytes:
            return []
        shared = self._sizes.store_bytes_per_second / len(self._remaining_bytes)
        rate = min(shared, self._sizes.engine_bytes_per_second)
        for engine in self._remaining_bytes:
            self._remaining_bytes[engine] -= rate * seconds
        completed = [
            engine
            for engine, remaining in self._remaining_bytes.items()
            if remaining <= 0
        ]
        for engine in completed:
            del self._remaining_bytes[engine]
        return completed


@dataclass(frozen=True)
class WeightReader:
    """Reads an engine's weights from the store."""

    reader: str
    store: Address
    size_bytes: float

    async def async_read(self) -> None:
        """Read all weights; retry until the store answers."""
        body = orjson.dumps({"reader": self.reader, "bytes": self.size_bytes})
        while True:
            with suppress(TargetError):
                await async_send_http(
                    self.store,
                    "POST",
                    "/v1/reads",
                    body=body,
                    timeout=c.WEIGHT_READ_TIMEOUT_SECONDS,
                )
                return
            await asyncio.sleep(c.WEIGHT_RETRY_SECONDS)


class WeightStoreStandIn:
    """Answers a read once its bytes would have arrived at the shared rate."""

    def __init__(self, address: Address, sizes: WeightStoreSizes) -> None:
        self.model = WeightStoreModel(sizes)
        self.most_at_once = 0
        self._completed: dict[str, asyncio.Event] = {}
        self._server = HttpServer(address, self._async_handle)
        self._tick_task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start serving."""
        await self._server.async_setup()
        self._tick_task = asyncio.create_task(self._async_tick())

    async def async_unload(self) -> None:
        """Stop serving."""
        if self._tick_task is not None:
            self._tick_task.cancel()
        await self._server.async_unload()

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for reader in self.model.advance(TICK_SECONDS):
                self._completed.pop(reader).set()

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "POST", "/v1/reads":
                body = orjson.loads(request.body)
                await self._async_read(body["reader"], body["bytes"])
                await responder.async_send_json(200, {"bytes": body["bytes"]})
            case "GET", "/v1/reads":
                report = {
                    "most_at_once": self.most_at_once,
                    "reading": sorted(self.model.loading),
                }
                await responder.async_send_json(200, report)
            case _:
                await responder.async_send_json(404, {"error": "not found"})

    async def _async_read(self, reader: str, size_bytes: float) -> None:
        completed = self._completed.setdefault(reader, asyncio.Event())
        self.model.start(reader, size_bytes)
        self.most_at_once = max(self.most_at_once, len(self.model.loading))
        await completed.wait()


def main() -> None:
    """Run one weight store stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=Address.parse, required=True)
    parser.add_argument("--store-bytes-per-second", type=float, default=10e9)
    parser.add_argument("--engine-bytes-per-second", type=float, default=2.5e9)
    arguments = parser.parse_args()
    sizes = WeightStoreSizes(
        arguments.store_bytes_per_second, arguments.engine_bytes_per_second
    )
    run_server(WeightStoreStandIn(arguments.address, sizes))


if __name__ == "__main__":
    main()
