"""Stand in for the platform: configuration service and host list."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from pathlib import Path
from typing import Any

import orjson

from tarragonward_config import LogEntry, apply_entry, build_state
from tarragonward_core import Address
from tarragonward_wire import HttpRequest, HttpServer, Responder

from . import const as c
from .process import run_server

__all__ = ["PlatformStandIn"]


class PlatformStandIn:
    """Publishes a numbered snapshot, the log of patches, and the host list.

    Operators publish through it; hosts can only read and watch.
    """

    def __init__(
        self, address: Address, document: dict[str, Any], hosts: list[dict[str, Any]]
    ) -> None:
        self.hosts = hosts
        self.log: list[LogEntry] = []
        self.reads = 0
        self._first = build_state(0, 0, document)
        self._changed = asyncio.Condition()
        self._server = HttpServer(address, self._async_handle)

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._server.address

    async def async_setup(self) -> None:
        """Start to serve."""
        await self._server.async_setup()

    async def async_unload(self) -> None:
        """Stop."""
        await self._server.async_unload()

    async def async_publish(self, base: int, operations: list[dict[str, Any]]) -> int:
        """Append a patch to the log and return its sequence."""
        async with self._changed:
            sequence = len(self.log) + 1
            self.log.append(LogEntry(sequence, base, tuple(operations)))
            self._changed.notify_all()
        return sequence

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        self.reads += request.method == "GET"
        match request.method, request.path:
            case "GET", "/v1/configuration/snapshot":
                await responder.async_send_json(200, self._build_snapshot())
            case "GET", "/v1/configuration/log":
                after = int(request.query.get("after", "0"))
                wait = float(request.query.get("wait", "0"))
                await self._async_wait(after, min(wait, c.WATCH_SECONDS))
                await responder.async_send_json(200, self._list_entries(after))
            case "POST", "/v1/configuration/patches":
                patch = orjson.loads(request.body)
                sequence = await self.async_publish(patch["base"], patch["operations"])
                await responder.async_send_json(200, {"sequence": sequence})
            case "GET", "/v1/hosts":
                await responder.async_send_json(200, {"hosts": self.hosts})
            case "PUT", "/v1/hosts":
                self.hosts = orjson.loads(request.body)["hosts"]
                await responder.async_send_json(200, {})
            case _:
                await responder.async_send_json(404, {"error": "not found"})

    async def _async_wait(self, after: int, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: len(self.log) > after)

    def _build_snapshot(self) -> dict[str, Any]:
        state = self._first
        for entry in self.log:
            state, _ = apply_entry(state, entry)
        return {
            "sequence": state.sequence,
            "number": state.number,
            "document": state.document,
        }

    def _list_entries(self, after: int) -> dict[str, Any]:
        entries = [
            {
                "sequence": entry.sequence,
                "base": entry.base,
                "operations": list(entry.operations),
            }
            for entry in self.log[after:]
        ]
        return {"latest": len(self.log), "entries": entries}


def main() -> None:
    """Run one platform stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=Address.parse, required=True)
    parser.add_argument("--document", type=Path, required=True)
    parser.add_argument("--hosts", type=Path, required=True)
    arguments = parser.parse_args()
    document = orjson.loads(arguments.document.read_bytes())
    hosts = orjson.loads(arguments.hosts.read_bytes())["hosts"]
    run_server(PlatformStandIn(arguments.address, document, hosts))


if __name__ == "__main__":
    main()
