"""Read and watch the published configuration; its active number never decreases."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterable
from typing import Any

from tarragonward_config import (
    ApplyResult,
    ConfigurationHistory,
    EngineOrderState,
    LogEntry,
    Outcome,
    PatchRecord,
    PatchResult,
    Verdict,
    build_state,
    parse_entry,
)
from tarragonward_core import (
    Address,
    BackgroundTasks,
    ConfigurationError,
    TargetError,
    log_event,
)
from tarragonward_wire import PeerLinks, async_send_http

from . import const as c
from .configuration_peers import ConfigurationPeers
from .core import HostState
from .membership import MembershipTask

__all__ = ["ConfigurationTask"]

READ_ERRORS = (
    AttributeError,
    ConfigurationError,
    KeyError,
    TargetError,
    TypeError,
    ValueError,
)
LOG_ROUTE = "/v1/configuration/log"
SNAPSHOT_ROUTE = "/v1/configuration/snapshot"
MAX_LISTED_PATCHES = 16


class ConfigurationTask:
    """Watch the configuration service and exchange patches with peers.

    The host admits no work until a first state is active. verdicts holds the latest
    patches with their verdicts, and the reasons of those refused.
    """

    def __init__(
        self, host: HostState, links: PeerLinks, membership: MembershipTask
    ) -> None:
        self._host = host
        self.history = ConfigurationHistory()
        self.peers = ConfigurationPeers(
            host, links, membership, self.history, self._apply_result
        )
        self._replicas = itertools.cycle(host.settings.configuration)
        self._catch_up_requested = asyncio.Event()
        self._background = BackgroundTasks(host.metrics)
        self._is_admitting = False
        host.add_status_section("patches", self._list_patches)

    async def async_setup(self) -> None:
        """Start to watch the service and to pull from peers."""
        self._background.start("configuration", self._async_run)
        self._background.start("configuration_exchange", self._async_pull_from_peers)

    async def async_unload(self) -> None:
        """Stop all tasks."""
        await self._background.async_unload()
        await self.peers.async_unload()

    @property
    def verdicts(self) -> list[PatchRecord]:
        """Return the verdicts on the latest patches, the oldest first."""
        return list(self.history.verdicts)

    def _list_patches(self) -> list[dict[str, Any]]:
        return [
            {
                "sequence": record.sequence,
                "base": record.base,
                "verdict": record.verdict.value,
                "reason": record.reason,
            }
            for record in self.verdicts[-MAX_LISTED_PATCHES:]
        ]

    def record_fencing(self, number: int) -> None:
        """Record an engine's fencing number; a higher one proves this host's stale."""
        self.history.raise_fencing_floor(number)
        if self.history.is_below_fencing_floor:
            self._catch_up_requested.set()

    async def async_verify_newest(self) -> bool:
        """Read all replicas of the service; return whether this host is up to date.

        Newer entries are applied. False if no replica answers that is at least as new
        as this host's state.
        """
        newest = -1
        for _ in self._host.settings.configuration:
            replica = next(self._replicas)
            try:
                newest = max(newest, await self._async_read_log(replica, wait=0.0))
            except READ_ERRORS as err:
                self._log_read_failure(replica, err)
        return newest >= self.history.sequence

    async def _async_run(self) -> None:
        await self._async_find_initial_state()
        while True:
            replica = next(self._replicas)
            try:
                await self._async_read_log(replica, c.CONFIGURATION_WATCH_SECONDS)
            except READ_ERRORS as err:
                self._log_read_failure(replica, err)
                await _async_wait_before_retry()

    async def _async_find_initial_state(self) -> None:
        """Find the newest reachable state before any work is admitted.

        A lagging replica, or a platform restored from an old backup, gives a new host
        an old state; a failure domain whose hosts were all replaced would then revert
        a patch that was active. Peers have the newer state. If no peer is left, the
        engines' fencing numbers show that a newer state exists, and the host waits.
        """
        while not self._is_admitting:
            await self._async_read_first_snapshot()
            await self.peers.async_pull_from_many()
            await self._async_read_fencing()
            if not self.history.is_below_fencing_floor:
                self._is_admitting = True
                self._activate()
                return
            self._host.metrics.count("configuration_below_floor")
            log_event(
                "configuration_below_floor",
                sequence=self.history.sequence,
                floor=self.history.floor,
            )
            await asyncio.sleep(
                c.CONFIGURATION_RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5)
            )

    async def _async_read_first_snapshot(self) -> None:
        for _ in self._host.settings.configuration:
            replica = next(self._replicas)
            try:
                await self._async_read_snapshot(replica)
                return
            except READ_ERRORS as err:
                self._log_read_failure(replica, err)

    async def _async_read_snapshot(self, replica: Address) -> None:
        data = await self._async_get(replica, SNAPSHOT_ROUTE, 0.0)
        state = build_state(data["sequence"], data["number"], data["document"])
        self._apply_result(self.history.apply_snapshot(state), str(replica))
        if state.sequence > 0 and state.sequence == self.history.sequence:
            path = f"{LOG_ROUTE}?after={state.sequence - 1}&wait=0"
            entries = (await self._async_get(replica, path, 0.0))["entries"]
            for item in entries[:1]:
                self.history.record_snapshot_entry(parse_entry(item))

    async def _async_read_log(self, replica: Address, wait: float) -> int:
        """Read new log entries; return the last sequence number of the log."""
        after = self.history.sequence
        path = f"{LOG_ROUTE}?after={after}&wait={wait}"
        data = await self._async_get(replica, path, wait)
        latest = int(data["latest"])
        if latest < after:
            self._host.metrics.count("configuration_stale_reads")
            log_event("configuration_replica_stale", replica=replica, latest=latest)
        entries = [parse_entry(item) for item in data["entries"]]
        if entries:
            taken = await self._async_take_checked(replica, entries)
            if taken.outcome is Outcome.GAP:
                await self._async_read_snapshot(replica)
            # Without the error, a log that does not continue this host's history
            # would be read in a busy loop.
            if self.history.sequence == after:
                raise ConfigurationError(f"{replica}: {taken.outcome.value}")
        return latest

    async def _async_take_checked(
        self, replica: Address, entries: list[LogEntry]
    ) -> ApplyResult:
        last = self.history.get_last_entry()
        if last is not None:
            path = f"{LOG_ROUTE}?after={last.sequence - 1}&wait=0"
            data = await self._async_get(replica, path, 0.0)
            entries = [parse_entry(item) for item in data["entries"]]
        taken = self.history.extend(entries)
        self._apply_result(taken, str(replica))
        return taken

    def _apply_result(self, taken: ApplyResult, source: str) -> None:
        """Activate an applied state; log and count refused patches and forks."""
        for patch_result in taken.patch_results:
            self._report_judgement(patch_result)
        if taken.outcome is Outcome.FORK:
            self._host.metrics.count("configuration_forks")
            log_event(
                "configuration_fork", source=source, sequence=self.history.sequence
            )
        if taken.outcome is Outcome.APPLIED:
            self._activate()
            self.peers.push(taken)

    def _report_judgement(self, patch_result: PatchResult) -> None:
        verdict = patch_result.verdict
        self._host.metrics.count("configuration_verdicts", verdict.value)
        log_event(
            "configuration_patch_judged",
            sequence=patch_result.entry.sequence,
            base=patch_result.entry.base,
            verdict=verdict.value,
            code=_get_code_number(verdict),
            reason=patch_result.reason or None,
        )

    def _activate(self) -> None:
        state = self.history.state
        if not self._is_admitting or state is None:
            return
        if state is self._host.configuration_state:
            return
        self._host.configuration_state = state
        log_event(
            "configuration_in_force",
            number=state.number,
            sequence=state.sequence,
            evacuated=",".join(sorted(state.configuration.evacuated_domains)) or None,
        )

    async def _async_pull_from_peers(self) -> None:
        while True:
            pause = c.CONFIGURATION_PULL_INTERVAL_SECONDS * random.uniform(0.75, 1.25)
            try:
                async with asyncio.timeout(pause):
                    await self._catch_up_requested.wait()
                await asyncio.sleep(c.CONFIGURATION_RETRY_DELAY_SECONDS)
            except TimeoutError:
                pass
            self._catch_up_requested.clear()
            if self._is_admitting:
                await self.peers.async_pull_one()
                if self.history.is_below_fencing_floor:
                    await self.async_verify_newest()

    async def _async_read_fencing(self) -> None:
        """Read the highest fencing number that a few engines have accepted."""
        state = self.history.state
        if state is None:
            return
        engine_targets = [t for t in state.configuration.targets.values() if t.models]
        domain = self._host.settings.failure_domain
        random.shuffle(engine_targets)
        engine_targets.sort(key=lambda engine: engine.failure_domain != domain)
        chosen = engine_targets[: c.MAX_FENCING_READS]
        addresses = [engine.address for engine in chosen]
        for number in await _async_read_all_fencing(addresses):
            self.history.raise_fencing_floor(number)

    async def _async_get(self, replica: Address, path: str, wait: float) -> Any:
        timeout = wait + c.CONFIGURATION_READ_TIMEOUT_SECONDS
        answer = await async_send_http(
            replica,
            "GET",
            path,
            timeout=timeout,
            inactivity_timeout=c.CONFIGURATION_READ_TIMEOUT_SECONDS,
        )
        if answer.status != 200:
            raise TargetError(f"{replica} answered {answer.status}")
        return answer.parse_json()

    def _log_read_failure(self, replica: Address, err: Exception) -> None:
        self._host.metrics.count("configuration_read_failures")
        log_event("configuration_read_failed", replica=replica, error=repr(err))


async def _async_read_all_fencing(addresses: Iterable[Address]) -> list[int]:
    reads = [_async_read_one_fencing(address) for address in addresses]
    return await asyncio.gather(*reads)


async def _async_read_one_fencing(address: Address) -> int:
    try:
        answer = await async_send_http(
            address, "GET", "/v1/load", timeout=c.REPORT_TIMEOUT_SECONDS
        )
        report = answer.parse_json()
    except TargetError:
        return 0
    state = EngineOrderState.parse(report)
    fencing = report.get("fencing") if isinstance(report, dict) else None
    numbers = [fencing if type(fencing) is int else 0]
    return max(numbers + ([state.fencing] if state is not None else []))


async def _async_wait_before_retry() -> None:
    await asyncio.sleep(c.CONFIGURATION_RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5))


def _get_code_number(verdict: Verdict) -> int:
    return c.VERDICT_CODES[verdict.value].number
