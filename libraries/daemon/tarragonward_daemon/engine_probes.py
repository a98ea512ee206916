"""Probe silent and excluded engines without sending them a caller's request."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Any, Protocol

from tarragonward_config import Target
from tarragonward_core import (
    BackgroundTasks,
    ConnectionLostError,
    SharedChecks,
    TargetError,
    log_event,
)
from tarragonward_requests import OutlierDetector
from tarragonward_wire import async_accepts_connections, async_send_http

from . import const as c
from .core import HostState
from .engines import EngineSilentError

__all__ = ["EngineProbes", "WatchedStream"]


class WatchedStream(Protocol):
    """The part of a stream being read that the probes use."""

    stream_id: str
    target: Target
    silent_since: float | None

    def interrupt(self, error: TargetError) -> None:
        """Stop reading the stream with an error."""


class EngineProbes:
    """Probe engines, one probe at a time for each engine and all its streams.

    A prefill of a million tokens sends nothing for most of a minute, and neither does
    a hung engine. A plain timeout would either abort and restart the longest prompts,
    or keep the callers of a hung engine waiting for a minute. A probe of the engine
    tells the two cases apart.
    """

    def __init__(self, host: HostState, outliers: OutlierDetector) -> None:
        self._host = host
        self._outliers = outliers
        self._streams: set[WatchedStream] = set()
        self._probes: dict[str, asyncio.Task[None]] = {}
        self._end_checks = SharedChecks()
        self._background = BackgroundTasks(host.metrics)

    async def async_setup(self) -> None:
        """Start to watch streams and excluded engines."""
        self._background.start("engine_probes", self._async_watch)

    async def async_unload(self) -> None:
        """Stop all probes."""
        await self._background.async_unload()
        await self._end_checks.async_unload()
        tasks = list(self._probes.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def watch(self, stream: WatchedStream) -> None:
        """Watch a stream until unwatch()."""
        self._streams.add(stream)

    def unwatch(self, stream: WatchedStream) -> None:
        """Stop watching a stream."""
        self._streams.discard(stream)

    async def async_has_ended(self, target: Target) -> bool:
        """Return whether an engine that lost a connection refuses new ones, too.

        Requests that lost their connections at the same time share one check.
        """
        check = partial(self._async_check_ended, target)
        return await self._end_checks.async_run(target.name, check)

    async def _async_check_ended(self, target: Target) -> bool:
        return not await async_accepts_connections(
            target.address,
            c.PROBE_TIMEOUT_SECONDS,
            self._host.get_connector(target),
            c.END_CHECK_SECONDS,
        )

    async def _async_watch(self) -> None:
        while True:
            now = asyncio.get_running_loop().time()
            for target in self._get_due_targets(now):
                if target.name not in self._probes:
                    task = asyncio.create_task(self._async_probe(target))
                    self._probes[target.name] = task
                    task.add_done_callback(
                        lambda _, name=target.name: self._probes.pop(name, None)
                    )
            await asyncio.sleep(c.PROBE_CHECK_INTERVAL_SECONDS)

    def _get_due_targets(self, now: float) -> list[Target]:
        due = {s.target.name: s.target for s in self._streams if _is_silent(s, now)}
        state = self._host.configuration_state
        if state is not None:
            targets = state.configuration.targets
            self._outliers.retain_only(targets)
            for name in self._outliers.get_due_probes(now):
                due[name] = targets[name]
        return list(due.values())

    async def _async_probe(self, target: Target) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            answer = await async_send_http(
                target.address,
                "GET",
                "/v1/load",
                timeout=c.PROBE_TIMEOUT_SECONDS,
                connect=self._host.get_connector(target),
            )
            report, error = answer.parse_json(), ""
        except TargetError as err:
            report, error = None, repr(err)
        now = loop.time()
        self._outliers.record_probe(target.name, report is not None, now)
        self._check_streams(target, report, started_at)
        if report is None:
            log_event("probe_failed", target=target.name, reason=error)
        await asyncio.sleep(c.PROBE_INTERVAL_SECONDS)

    def _check_streams(self, target: Target, report: Any, started_at: float) -> None:
        for stream in list(self._streams):
            # A probe applies only to streams that were silent when it started.
            if stream.target.name != target.name or not _is_silent(stream, started_at):
                continue
            if report is None:
                stream.interrupt(
                    EngineSilentError(f"{target.name} did not answer a load probe")
                )
            elif stream.stream_id not in report.get("streams", ()):
                # The report may be out of date; the attempt to resume the stream
                # shows whether it still exists.
                stream.interrupt(
                    ConnectionLostError("stream missing from the engine's load report")
                )


def _is_silent(stream: WatchedStream, now: float) -> bool:
    silent_since = stream.silent_since
    return silent_since is not None and now - silent_since >= c.ENGINE_SILENCE_SECONDS
