"""Read the load reports of engines and show them to placement."""

from __future__ import annotations

import asyncio
from typing import Any

from tarragonward_config import Target
from tarragonward_core import TargetError
from tarragonward_placement import EngineView
from tarragonward_wire import async_send_http

from . import const as c
from .core import HostState

__all__ = ["ReportTask"]


class ReportTask:
    """Own the reading of the engines' load reports."""

    def __init__(self, host: HostState) -> None:
        self._host = host
        self._reports: dict[str, tuple[float, dict[str, Any]]] = {}
        self._task: asyncio.Task[None] | None = None

    async def async_setup(self) -> None:
        """Start to read."""
        self._task = asyncio.create_task(self._async_read())

    async def async_unload(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def build_views(self, engines: list[Target], now: float) -> list[EngineView]:
        """Return what is known of these engines."""
        return [self._build_view(engine, now) for engine in engines]

    def _build_view(self, engine: Target, now: float) -> EngineView:
        read_at, report = self._reports.get(engine.name, (now, {}))
        return EngineView(
            name=engine.name,
            kv_tokens=engine.kv_tokens,
            free_kv_tokens=report.get("free_kv_tokens", engine.kv_tokens),
            queued_prefill_tokens=report.get("queued_prefill_tokens", 0),
            running=report.get("running", 0),
            report_age_seconds=now - read_at,
        )

    async def _async_read(self) -> None:
        while True:
            state = self._host.configuration_state
            targets = [] if state is None else state.configuration.targets.values()
            engines = [target for target in targets if target.models]
            await asyncio.gather(*(self._async_read_one(e) for e in engines))
            await asyncio.sleep(c.REPORT_SECONDS)

    async def _async_read_one(self, engine: Target) -> None:
        try:
            answer = await async_send_http(
                engine.address, "GET", "/v1/load", timeout=c.REPORT_TIMEOUT_SECONDS
            )
            report = answer.parse_json()
        except TargetError:
            return
        self._reports[engine.name] = (asyncio.get_running_loop().time(), report)
