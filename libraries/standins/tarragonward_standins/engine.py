"""Stand-in for a model engine, served over HTTP."""

from __future__ import annotations

import argparse
import asyncio
import os
from collections import deque
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path
from typing import Any

import orjson

from tarragonward_core import Address, estimate_tokens
from tarragonward_wire import HttpLimits, HttpRequest, HttpServer, Responder

from . import const as c
from .answers import AnswerText
from .engine_model import EngineModel, EngineSizes, EngineWork, KvExport
from .process import run_server
from .weight_store import WeightReader

__all__ = ["EngineStandIn", "ReportFaults"]

STREAMS = "/v1/streams"
RESERVATIONS = "/v1/reservations"
HOLDER_FIELDS = ("streams", "reservations")
CACHE_EVENTS = "/v1/cache-events"
KV = "/v1/kv"
HTTP_NO_MEMORY = 507
CRASH_SECONDS = 0.05
EXIT_CRASHED = 70


@dataclass(frozen=True)
class ReportFaults:
    """Faults of an engine's reports.

    lag_seconds delays load reports and cache events; every lose_every-th cache event is
    omitted, none if it is 0.
    """

    lag_seconds: float = 0.0
    lose_every: int = 0


@dataclass
class _Stream:
    owner: str
    text: AnswerText
    max_tokens: int
    first_offset: int
    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def produce(self) -> None:
        if self.text.is_finished():
            self.finish_reason = "stop"
        else:
            self.tokens.append(self.text.next_token())
            if len(self.tokens) >= self.max_tokens:
                self.finish_reason = "length"
        self.changed.set()


class EngineStandIn:
    """An engine that runs an EngineModel and streams the generated tokens.

    A stream holds its KV memory until it has been read to its end or is cancelled.
    Memory whose owner forgets the stream is therefore leaked, which makes such leaks
    visible to tests.
    """

    def __init__(
        self,
        address: Address,
        sizes: EngineSizes,
        faults: ReportFaults | None = None,
        ignores_fencing: bool = False,
        weights: WeightReader | None = None,
        crash_text: str = "",
    ) -> None:
        self._crash_text = crash_text
        self._ignores_fencing = ignores_fencing
        self._orders: dict | None = None
        self._weights = weights
        self._load_task: asyncio.Task[None] | None = None
        self.model = EngineModel(sizes)
        self._faults = faults or ReportFaults()
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._streams: dict[str, _Stream] = {}
        self._owners: dict[str, str] = {}
        self._server = HttpServer(
            address, self._async_handle, HttpLimits(max_body_bytes=c.MAX_BODY_BYTES)
        )
        self._step_task: asyncio.Task[None] | None = None
        self._fencing = 0

    @property
    def address(self) -> Address:
        """Return the address in use."""
        return self._server.address

    async def async_setup(self) -> None:
        """Start serving."""
        await self._server.async_setup()
        self._step_task = asyncio.create_task(self._async_run_steps())

    async def async_unload(self) -> None:
        """Stop serving and cancel the background tasks."""
        for task in (self._step_task, self._load_task):
            if task is not None:
                task.cancel()
        await self._server.async_unload()

    async def _async_run_steps(self) -> None:
        while True:
            self._record_report()
            result = self.model.step()
            if result is None:
                await asyncio.sleep(c.IDLE_POLL_SECONDS)
                continue
            await asyncio.sleep(result.seconds)
            for stream_id in result.tokens_for:
                if stream_id in self._streams:
                    self._produce(stream_id)

    def _produce(self, stream_id: str) -> None:
        stream = self._streams[stream_id]
        stream.produce()
        if stream.finish_reason:
            self.model.finish(stream_id)

    async def _async_handle(self, request: HttpRequest, responder: Responder) -> None:
        stream_id = request.path.removeprefix(STREAMS + "/")
        match request.method, request.path:
            case "POST", path if path == STREAMS:
                await self._async_open(orjson.loads(request.body), responder)
            case "GET", "/v1/load":
                report = self._get_delayed_report()
                if request.query.get("held") == "0":
                    report = {k: v for k, v in report.items() if k not in HOLDER_FIELDS}
                await responder.async_send_json(200, report)
            case "GET", path if path == CACHE_EVENTS:
                after = int(request.query.get("after", "0"))
                await responder.async_send_json(200, self._get_cache_events(after))
            case "POST", path if path == KV:
                await self._async_import(orjson.loads(request.body), responder)
            case "POST", path if path.startswith(KV + "/"):
                await self._async_export(path.removeprefix(KV + "/"), responder)
            case "POST", path if path == RESERVATIONS:
                await self._async_reserve(orjson.loads(request.body), responder)
            case "POST", "/v1/orders":
                await self._async_apply_order(orjson.loads(request.body), responder)
            case "DELETE", path if path.startswith(RESERVATIONS + "/"):
                reservation_id = path.removeprefix(RESERVATIONS + "/")
                self._owners.pop(reservation_id, None)
                found = self.model.release(reservation_id)
                await responder.async_send_json(200, {"found": found})
            case "DELETE", _ if stream_id in self._streams:
                self._remove_stream(stream_id)
                await responder.async_send_json(200, {"found": True})
            case "DELETE", _:
                await responder.async_send_json(200, {"found": False})
            case "GET", _ if stream_id in self._streams:
                offset = int(request.query.get("offset", "0"))
                await self._async_read(stream_id, offset, responder)
            case _:
                await responder.async_send_json(404, {"error": "not found"})

    async def _async_open(self, body: dict, responder: Responder) -> None:
        stream_id, prompt = body["stream_id"], body["prompt"]
        if self._crash_text and self._crash_text in prompt:
            await responder.async_start(200, {"content-type": "application/x-ndjson"})
            await asyncio.sleep(CRASH_SECONDS)
            os._exit(EXIT_CRASHED)
        work = EngineWork(
            stream_id,
            estimate_tokens(len(prompt.encode())),
            body["max_tokens"],
            body.get("priority", 0),
            body.get("chunk_tokens", 0),
            tuple(body.get("prefix_hashes", ())),
            body.get("reservations", {}).get(body.get("leader", ""), ""),
        )
        if self._lacks_weights():
            await responder.async_send_json(503, {"error": "no weights"})
            return
        if stream_id in self._streams:
            await responder.async_send_json(409, {"error": "stream id in use"})
            return
        if not self.model.submit(work):
            await responder.async_send_json(HTTP_NO_MEMORY, {"error": "no memory"})
            return
        offset = body.get("offset", 0)
        self._streams[stream_id] = _Stream(
            body["owner"], AnswerText(prompt), body["max_tokens"], offset
        )
        await self._async_read(stream_id, offset, responder)

    async def _async_read(
        self, stream_id: str, offset: int, responder: Responder
    ) -> None:
        stream = self._streams[stream_id]
        await responder.async_start(200, {"content-type": "application/x-ndjson"})
        position = offset - stream.first_offset
        while True:
            if position >= len(stream.tokens) and not stream.finish_reason:
                await stream.changed.wait()
            stream.changed.clear()
            if stream_id not in self._streams:
                raise ConnectionAbortedError("cancelled")
            lines = [
                orjson.dumps(
                    {"offset": stream.first_offset + at, "text": stream.tokens[at]}
                )
                for at in range(position, len(stream.tokens))
            ]
            position = len(stream.tokens)
            if stream.finish_reason:
                total = stream.first_offset + position
                end = {"finish_reason": stream.finish_reason, "tokens": total}
                lines.append(orjson.dumps(end))
            if lines:
                await responder.async_send_chunk(b"\n".join(lines) + b"\n")
            if stream.finish_reason:
                await responder.async_finish()
                self._remove_stream(stream_id)
                return

    async def _async_reserve(self, body: dict, responder: Responder) -> None:
        granted = self.model.reserve(body["reservation_id"], body["tokens"])
        if granted:
            self._owners[body["reservation_id"]] = body["owner"]
        status = 200 if granted else 409
        await responder.async_send_json(status, {"granted": granted})

    async def _async_apply_order(self, body: dict, responder: Responder) -> None:
        is_current = self._ignores_fencing or body["fencing"] >= self._fencing
        if is_current:
            self._fencing = body["fencing"]
            self._apply_order(body)
        await responder.async_send_json(200 if is_current else 409, {"ok": is_current})

    def _apply_order(self, body: dict) -> None:
        models = None if self._orders is None else self._orders["models"]
        self._orders = body
        if self._weights is None or models == body["models"]:
            return
        if self._load_task is not None:
            self._load_task.cancel()
        self._load_task = asyncio.create_task(self._weights.async_read())

    def _is_loading(self) -> bool:
        return self._load_task is not None and not self._load_task.done()

    def _lacks_weights(self) -> bool:
        return self._weights is not None and (
            self._load_task is None or self._is_loading()
        )

    async def _async_export(self, stream_id: str, responder: Responder) -> None:
        stream = self._streams.get(stream_id)
        if stream is None:
            await responder.async_send_json(404, {"error": "no such stream"})
            return
        exported = self.model.export_kv(stream_id)
        self._remove_stream(stream_id)
        state = {
            "work": asdict(exported.work),
            "owner": stream.owner,
            "context": stream.text.context,
            "tokens": stream.tokens,
            "first_offset": stream.first_offset,
        }
        await responder.async_send_json(200, state)

    async def _async_import(self, body: dict, responder: Responder) -> None:
        work = EngineWork(**body["work"])
        if not self.model.import_kv(KvExport(work)):
            await responder.async_send_json(HTTP_NO_MEMORY, {"error": "no memory"})
            return
        text = AnswerText(body["context"])
        tokens = list(body["tokens"])
        for _ in tokens:
            text.next_token()
        self._streams[work.work_id] = _Stream(
            body["owner"], text, work.max_tokens, body["first_offset"], tokens
        )
        await responder.async_send_json(200, {"imported": True})

    def _remove_stream(self, stream_id: str) -> None:
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            self.model.remove(stream_id)
            stream.changed.set()

    def _record_report(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._reports and now - self._reports[-1][0] < c.REPORT_INTERVAL_SECONDS:
            return
        if not self._faults.lag_seconds:
            return
        self._reports.append((now, self._build_report()))
        while len(self._reports) > 1 and self._is_due(self._reports[1], now):
            self._reports.popleft()

    def _is_due(self, entry: tuple[float, dict[str, Any]], now: float) -> bool:
        return now - entry[0] >= self._faults.lag_seconds

    def _get_delayed_report(self) -> dict:
        return self._reports[0][1] if self._reports else self._build_report()

    def _get_cache_events(self, after: int) -> dict:
        last_sequence = self._get_delayed_report()["cache_sequence"]
        lose_every = self._faults.lose_every
        events = [
            asdict(event)
            for event in self.model.get_cache_events(after)
            if event.sequence <= last_sequence
            and not (lose_every and event.sequence % lose_every == 0)
        ]
        return {"sequence": last_sequence, "events": events}

    def _build_report(self) -> dict:
        return {
            "kv_tokens": self.model.sizes.kv_tokens,
            "free_kv_tokens": self.model.free_kv_tokens,
            "queued_prefill_tokens": self.model.queued_prefill_tokens,
            "queued_by_priority": {
                str(priority): tokens
                for priority, tokens in self.model.get_queued_by_priority().items()
            },
            "running": self.model.running,
            "prefill_tokens_per_second": self.model.prefill_tokens_per_second,
            "seconds_per_token": self.model.seconds_per_token,
            "cache_sequence": self.model.cache.sequence,
            "fencing": self._fencing,
            "orders": self._orders,
            "loading": self._is_loading(),
            "streams": {name: s.owner for name, s in self._streams.items()},
            "reservations": dict(self._owners),
        }


def main() -> None:
    """Run one engine stand-in as a process."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", type=Address.parse, required=True)
    parser.add_argument("--kv-tokens", type=int)
    parser.add_argument("--assumptions", type=Path, help="a TOML file of EngineSizes")
    parser.add_argument("--time-scale", type=float, default=1.0)
    parser.add_argument("--lag-seconds", type=float, default=0.0)
    parser.add_argument("--lose-every", type=int, default=0)
    parser.add_argument("--weight-store", type=Address.parse)
    parser.add_argument("--weight-bytes", type=float, default=c.DEFAULT_WEIGHT_BYTES)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--crash-text", default="", help="prompts with it crash this")
    arguments = parser.parse_args()
    path = arguments.assumptions
    sizes = EngineSizes() if path is None else EngineSizes.load(path)
    if arguments.kv_tokens is not None:
        sizes = replace(sizes, kv_tokens=arguments.kv_tokens)
    faults = ReportFaults(arguments.lag_seconds, arguments.lose_every)
    sizes = sizes.scale(arguments.time_scale)
    weights = None
    if arguments.weight_store is not None:
        weights = WeightReader(
            str(arguments.address), arguments.weight_store, arguments.weight_bytes
        )
    ignores_fencing = arguments.ignores_fencing
    run_server(
        EngineStandIn(
            arguments.address,
            sizes,
            faults,
            ignores_fencing,
            weights,
            arguments.crash_text,
        )
    )


if __name__ == "__main__":
    main()
