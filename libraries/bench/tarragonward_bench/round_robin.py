"""Baseline for comparison: a round-robin proxy with unconditional retry."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import uuid
from pathlib import Path
from typing import Any

import orjson

from tarragonward_config import Settings, load_settings
from tarragonward_core import Address, ResultCode, TargetError
from tarragonward_standins.process import run_server
from tarragonward_wire import (
    HttpRequest,
    HttpServer,
    Responder,
    async_open_http,
    async_send_http,
)

__all__ = ["RoundRobin"]

MAX_ATTEMPTS = 3
SILENCE_TIMEOUT_SECONDS = 5.0
CONFIGURATION_POLL_SECONDS = 0.5
OWNER = "round-robin"


class RoundRobin:
    """Round-robin proxy on an entry host's addresses.

    It selects the published engines in turn, retries with the next one after any
    failure, and sends only complete answers: a better baseline than a streaming proxy,
    which can't retry after the first byte.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._engines: list[Address] = []
        self._number = -1
        self._attempts = itertools.count()
        self._callers = HttpServer(settings.callers, self._async_complete)
        self._operators = HttpServer(settings.operators, self._async_operate)
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start the servers."""
        self._task = asyncio.create_task(self._async_read_configuration())
        await self._callers.async_setup()
        await self._operators.async_setup()

    async def async_unload(self) -> None:
        """Stop the servers."""
        if self._task is not None:
            self._task.cancel()
        await self._operators.async_unload()
        await self._callers.async_unload()

    async def _async_read_configuration(self) -> None:
        while True:
            try:
                answer = await async_send_http(
                    self._settings.configuration[0],
                    "GET",
                    "/v1/configuration/snapshot",
                    timeout=1.0,
                )
                snapshot = answer.parse_json()
                targets = snapshot["document"]["targets"].values()
                self._engines = [
                    Address.parse(target["address"])
                    for target in targets
                    if target["kind"] == "engine"
                ]
                self._number = snapshot["number"]
            except (TargetError, KeyError):
                pass
            await asyncio.sleep(CONFIGURATION_POLL_SECONDS)

    async def _async_operate(self, request: HttpRequest, responder: Responder) -> None:
        status = 200 if self._engines else 503
        body = {"configuration_number": self._number}
        await responder.async_send_json(status, body)

    async def _async_complete(self, request: HttpRequest, responder: Responder) -> None:
        body = orjson.loads(request.body)
        for _ in range(MAX_ATTEMPTS):
            try:
                lines = await self._async_request(body)
            except (TargetError, TimeoutError):
                continue
            await responder.async_start(200, {"content-type": "text/event-stream"})
            for line in lines:
                await responder.async_send_chunk(_build_event(line))
            await responder.async_finish()
            return
        await responder.async_send_error(ResultCode.ENGINES_FAILED)

    async def _async_request(self, body: dict[str, Any]) -> list[dict[str, Any]]:
        engine = self._engines[next(self._attempts) % len(self._engines)]
        payload = {
            "stream_id": uuid.uuid4().hex,
            "owner": OWNER,
            "prompt": body["prompt"],
            "max_tokens": body["max_tokens"],
        }
        async with async_open_http(
            engine, "POST", "/v1/streams", body=orjson.dumps(payload)
        ) as stream:
            if stream.status != 200:
                raise TargetError(str(stream.status))
            received: list[dict[str, Any]] = []
            lines = stream.async_iterate_lines()
            while not received or "finish_reason" not in received[-1]:
                line = await asyncio.wait_for(
                    anext(lines, b""), SILENCE_TIMEOUT_SECONDS
                )
                if not line:
                    raise TargetError("stream ended early")
                received.append(orjson.loads(line))
            return received


def _build_event(line: dict[str, Any]) -> bytes:
    choice = {
        "text": line.get("text", ""),
        "finish_reason": line.get("finish_reason"),
    }
    return b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n"


def main() -> None:
    """Run the proxy as a process, with an entry host's settings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--settings", type=Path, required=True)
    run_server(RoundRobin(load_settings(parser.parse_args().settings)))


if __name__ == "__main__":
    main()
