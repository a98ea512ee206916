"""Fake engine without compute time, so that only the request path is measured."""

from __future__ import annotations

import argparse
import asyncio
import itertools

import orjson

from tarragonward_core import Address
from tarragonward_standins.process import run_server
from tarragonward_wire import HttpRequest, HttpServer, Responder

__all__ = ["PathEngine"]

KV_TOKENS = 1_000_000_000
TEXT = " a1b2"


class PathEngine:
    """Sends the first token at once, and one more per stream and interval."""

    def __init__(self, address: Address, interval_seconds: float) -> None:
        self._interval = interval_seconds
        self._streams = 0
        self._server = HttpServer(address, self._async_handle)

    async def async_setup(self) -> None:
        """Start the server."""
        await self._server.async_setup()

    async def async_unload(self) -> None:
        """Stop the server."""
        await self._server.async_unload()

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        match request.method, request.path:
            case "POST", "/v1/streams":
                await self._async_stream(orjson.loads(request.body), responder)
            case "GET", "/v1/load":
                await responder.async_send_json(200, self._report())
            case _:
                await responder.async_send_json(200, {"found": True, "events": []})

    async def _async_stream(self, body: dict, responder: Responder) -> None:
        self._streams += 1
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            await responder.async_start(200, {"content-type": "application/x-ndjson"})
            for offset in itertools.count(body.get("offset", 0)):
                line = orjson.dumps({"offset": offset, "text": TEXT})
                await responder.async_send_chunk(line + b"\n")
                if offset + 1 >= body["max_tokens"]:
                    break
                due = started + (offset + 1) * self._interval
                await asyncio.sleep(max(0.0, due - loop.time()))
            end = {"finish_reason": "length", "tokens": body["max_tokens"]}
            await responder.async_send_chunk(orjson.dumps(end) + b"\n")
            await responder.async_finish()
        finally:
            self._streams -= 1

    def _report(self) -> dict:
        return {
            "kv_tokens": KV_TOKENS,
            "free_kv_tokens": KV_TOKENS,
            "queued_prefill_tokens": 0,
            "running": 0,
            "prefill_tokens_per_second": 1e9,
            "seconds_per_token": self._interval / 100,
            "cache_sequence": 0,
            "fencing": 0,
            "orders": {},
            "streams": {},
            "reservations": {},
        }


def main() -> None:
    """Run one fake engine as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=Address.parse, required=True)
    parser.add_argument("--interval-seconds", type=float, required=True)
    arguments = parser.parse_args()
    run_server(PathEngine(arguments.address, arguments.interval_seconds))


if __name__ == "__main__":
    main()
