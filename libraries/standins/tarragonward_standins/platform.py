"""Stand-in for the platform: configuration service and host list."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import gzip
import hashlib
from pathlib import Path
from typing import Any

import orjson

from tarragonward_config import LogEntry, apply_entry, build_state
from tarragonward_core import Address
from tarragonward_wire import HttpRequest, HttpServer, Responder

from . import const as c
from .process import run_server

__all__ = ["PlatformStandIn"]

CONFIGURATION = "/v1/configuration/"


class PlatformStandIn:
    """Serves a numbered snapshot, the log of patches, and the host list.

    Operators publish patches; hosts only read and watch.
    """

    def __init__(
        self, address: Address, document: dict[str, Any], hosts: list[dict[str, Any]]
    ) -> None:
        self.hosts = hosts
        self.log: list[LogEntry] = []
        self.reads = 0
        self.is_configuration_down = False
        self.stale_at: int | None = None
        self._initial_state = build_state(0, 0, document)
        self._changed = asyncio.Condition()
        self._server = HttpServer(address, self._async_handle)

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._server.address

    async def async_setup(self) -> None:
        """Start serving."""
        await self._server.async_setup()

    async def async_unload(self) -> None:
        """Stop serving."""
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
        is_configuration = request.path.startswith(CONFIGURATION)
        if is_configuration and self.is_configuration_down and request.method == "GET":
            await responder.async_send_json(503, {"error": "down"})
            return
        match request.method, request.path:
            case "GET", "/v1/configuration/snapshot":
                await responder.async_send_json(200, self._build_snapshot())
            case "GET", "/v1/configuration/log":
                after = int(request.query.get("after", "0"))
                wait = float(request.query.get("wait", "0"))
                await self._async_wait(after, min(wait, c.MAX_WATCH_SECONDS))
                await responder.async_send_json(200, self._list_entries(after))
            case "POST", "/v1/configuration/patches":
                patch = orjson.loads(request.body)
                sequence = await self.async_publish(patch["base"], patch["operations"])
                await responder.async_send_json(200, {"sequence": sequence})
            case "PUT", "/v1/faults":
                self._set_faults(orjson.loads(request.body))
                await responder.async_send_json(200, {})
            case "GET", "/v1/hosts":
                await self._async_send_hosts(request, responder)
            case "PUT", "/v1/hosts":
                self.hosts = orjson.loads(request.body)["hosts"]
                await responder.async_send_json(200, {})
            case _:
                await responder.async_send_json(404, {"error": "not found"})

    async def _async_send_hosts(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Send the host list, or 304 if the reader's entity tag matches."""
        body = orjson.dumps({"hosts": self.hosts})
        tag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        headers = {"content-type": "application/json", "etag": tag}
        if request.headers.get("if-none-match") == tag:
            await responder.async_send_bytes(304, b"", headers)
            return
        if "gzip" in request.headers.get("accept-encoding", ""):
            body = gzip.compress(body)
            headers["content-encoding"] = "gzip"
        await responder.async_send_bytes(200, body, headers)

    def _set_faults(self, faults: dict[str, Any]) -> None:
        """Make the configuration unavailable, or cut its log at stale_at entries."""
        self.is_configuration_down = faults.get("configuration_down", False)
        self.stale_at = faults.get("stale_at")

    def _get_visible_log(self) -> list[LogEntry]:
        return self.log if self.stale_at is None else self.log[: self.stale_at]

    async def _async_wait(self, after: int, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(
                    lambda: len(self._get_visible_log()) > after
                )

    def _build_snapshot(self) -> dict[str, Any]:
        state = self._initial_state
        for entry in self._get_visible_log():
            state, _ = apply_entry(state, entry)
        return {
            "sequence": state.sequence,
            "number": state.number,
            "document": state.document,
        }

    def _list_entries(self, after: int) -> dict[str, Any]:
        visible = self._get_visible_log()
        entries = [
            {
                "sequence": entry.sequence,
                "base": entry.base,
                "operations": list(entry.operations),
            }
            for entry in visible[after:]
        ]
        return {"latest": len(visible), "entries": entries}


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
