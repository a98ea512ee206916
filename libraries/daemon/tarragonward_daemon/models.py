"""Run model requests, and hold the state that they share."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack

from tarragonward_config import ClientAccount, Target
from tarragonward_core import RequestRefusedError, ResultCode
from tarragonward_placement import Placement
from tarragonward_requests import EndRequest, OutlierDetector, RetryBudget

from .completions import Completion
from .core import HostState
from .engine_probes import EngineProbes
from .engines import Releases
from .groups import GroupReserver
from .membership import MembershipTask
from .model_run import ModelRun, Sink
from .prefixes import PrefixTask
from .reports import ReportTask
from .suspects import SuspectTask

__all__ = ["ModelRequests", "Sink"]


class ModelRequests:
    """Run model requests, and hold the state that they share."""

    def __init__(
        self,
        host: HostState,
        reports: ReportTask,
        releases: Releases,
        membership: MembershipTask,
        suspects: SuspectTask,
    ) -> None:
        self.host = host
        self.suspects = suspects
        self.reports = reports
        self.releases = releases
        self.membership = membership
        self.placement = Placement(random.Random())
        self.prefixes = PrefixTask(self.placement.prefixes, host)
        self.budget = RetryBudget()
        self.outliers = OutlierDetector()
        self.probes = EngineProbes(host, self.outliers)
        self.active_streams: set[str] = set()
        self.groups = GroupReserver(host, releases, self.active_streams)
        self._runs: set[ModelRun] = set()

    async def async_setup(self) -> None:
        """Start the probes of engines and the reading of cache events."""
        await self.probes.async_setup()
        await self.prefixes.async_setup()

    async def async_unload(self) -> None:
        """Stop the probes and the reading of cache events."""
        await self.prefixes.async_unload()
        await self.probes.async_unload()

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target must get no new work."""
        published = self.host.configuration.targets.get(target.name)
        return published is None or target.name in self.membership.leaving_targets

    def get_engines(self, model: str) -> list[Target]:
        """Return the engines of a model that accept new work."""
        engines = self.host.configuration.get_engines(model)
        is_evacuated = self.host.configuration.is_evacuated
        return [
            engine
            for engine in engines
            if not self.is_leaving(engine) and not is_evacuated(engine)
        ]

    async def async_run(
        self,
        request_id: str,
        account: ClientAccount,
        completion: Completion,
        deadline: float,
        sink: Sink,
    ) -> EndRequest:
        """Run one request to its end; deadline is event loop time."""
        if completion.model not in self.host.configuration.models:
            raise RequestRefusedError(ResultCode.UNKNOWN_MODEL)
        run = ModelRun(self, request_id, account, completion, deadline, sink)
        async with AsyncExitStack() as stack:
            self._runs.add(run)
            stack.callback(self._runs.discard, run)
            stack.push_async_callback(run.async_unload)
            end = await run.async_run()
        # The process may have been paused since the end was decided, and a complete
        # answer may be late by now. There is no await between this check and the
        # first byte of the answer.
        is_late = asyncio.get_running_loop().time() >= deadline
        if end.code is ResultCode.OK and is_late:
            return EndRequest(ResultCode.DEADLINE_EXCEEDED, end.finish_reason)
        return end

    def stop_all(self) -> None:
        """End every request in progress; each still sends its answer."""
        for run in list(self._runs):
            run.stop()
