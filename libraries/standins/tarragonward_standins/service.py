"""Stand-in for a plain service with non-idempotent calls."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
from collections import Counter

from tarragonward_core import Address
from tarragonward_wire import HttpRequest, HttpServer, Responder

from .process import run_server

__all__ = ["ServiceStandIn"]

OPERATIONS = "/operations/"


class ServiceStandIn:
    """Runs every call and counts the runs per call key.

    A call whose body starts with b"refuse" is refused with 429 and not run.
    """

    def __init__(self, address: Address, delay_seconds: float = 0.0) -> None:
        self.delay_seconds = delay_seconds
        self.runs: Counter[str] = Counter()
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

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/runs":
            await responder.async_send_json(200, dict(self.runs))
            return
        if not request.path.startswith(OPERATIONS):
            await responder.async_send_json(404, {"error": "not found"})
            return
        if request.body.startswith(b"refuse"):
            await responder.async_send_json(429, {"error": "busy, not run"})
            return
        key = request.headers.get("x-call-key", "")
        self.runs[key] += 1
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        answer = {
            "operation": request.path.removeprefix(OPERATIONS),
            "run": self.runs[key],
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
        }
        await responder.async_send_json(200, answer)


def main() -> None:
    """Run one service stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=Address.parse, required=True)
    parser.add_argument("--delay-seconds", type=float, default=0.0)
    arguments = parser.parse_args()
    run_server(ServiceStandIn(arguments.address, arguments.delay_seconds))


if __name__ == "__main__":
    main()
