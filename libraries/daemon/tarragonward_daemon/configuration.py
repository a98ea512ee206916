"""Read and watch the published configuration; the number in force never falls."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterable
from typing import Any

from tarragonward_config import (
    ConfigurationHistory,
    EngineOrderState,
    Judgement,
    LogEntry,
    Outcome,
    PatchRecord,
    Taken,
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
    """Own the watch of the configuration service and the exchange with peers.

    Until the first state is put in force the host admits no work. verdicts holds the
    last entries judged, with the reason where one was refused.
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
        """Start to watch and to exchange with peers."""
        self._background.start("configuration", self._async_run)
        self._background.start("configuration_exchange", self._async_pull_from_peers)

    async def async_unload(self) -> None:
        """Stop."""
        await self._background.async_unload()
        await self.peers.async_unload()

    @property
    def verdicts(self) -> list[PatchRecord]:
        """Return what became of the last patches, the oldest first."""
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
        """Note an engine's fencing number; a higher one shows that ours is stale."""
        self.history.raise_floor(number)
        if self.history.is_below_floor:
            self._catch_up_requested.set()

    async def async_verify_newest(self) -> bool:
        """Look at all replicas of the service; tell whether ours is their newest state.

        What is newer is taken over. False where none answers that is at least as new
        as this host.
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
        """Find the newest state in reach before any work is admitted.

        A replica that lags, or a platform back from an old backup, shows a new host
        an old state. Symptom: a domain whose hosts were all replaced goes back behind
        a patch that was in force. Peers know the newer state; where none is left, the
        engines' fencing numbers show that there was one, and the host waits for it.
        """
        while not self._is_admitting:
            await self._async_read_first_snapshot()
            await self.peers.async_pull_from_many()
            await self._async_read_fencing()
            if not self.history.is_below_floor:
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
        self._apply_result(self.history.take_snapshot(state), str(replica))
        if state.sequence > 0 and state.sequence == self.history.sequence:
            path = f"{LOG_ROUTE}?after={state.sequence - 1}&wait=0"
            entries = (await self._async_get(replica, path, 0.0))["entries"]
            for item in entries[:1]:
                self.history.remember(parse_entry(item))

    async def _async_read_log(self, replica: Address, wait: float) -> int:
        """Read what is new in the log; return the last sequence that it holds."""
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
            # A log that is no continuation of ours would else be read in a busy loop.
            if self.history.sequence == after:
                raise ConfigurationError(f"{replica}: {taken.outcome.value}")
        return latest

    async def _async_take_checked(
        self, replica: Address, entries: list[LogEntry]
    ) -> Taken:
        last = self.history.get_last_entry()
        if last is not None:
            path = f"{LOG_ROUTE}?after={last.sequence - 1}&wait=0"
            data = await self._async_get(replica, path, 0.0)
            entries = [parse_entry(item) for item in data["entries"]]
        taken = self.history.extend(entries)
        self._apply_result(taken, str(replica))
        return taken

    def _apply_result(self, taken: Taken, source: str) -> None:
        """Put in force what was taken over, and make what was refused visible."""
        for judgement in taken.judgements:
            self._report_judgement(judgement)
        if taken.outcome is Outcome.FORK:
            self._host.metrics.count("configuration_forks")
            log_event(
                "configuration_fork", source=source, sequence=self.history.sequence
            )
        if taken.outcome is Outcome.TAKEN:
            self._activate()
            self.peers.push(taken)

    def _report_judgement(self, judgement: Judgement) -> None:
        verdict = judgement.verdict
        self._host.metrics.count("configuration_verdicts", verdict.value)
        log_event(
            "configuration_patch_judged",
            sequence=judgement.entry.sequence,
            base=judgement.entry.base,
            verdict=verdict.value,
            code=_get_code_number(verdict),
            reason=judgement.reason or None,
        )

    def _activate(self) -> None:
        state = self.history.state
        if not self._is_admitting or state is None:
            return
        if state is self._host.configuration_state:
            return
        self._host.configuration_state = state
        log_event(
            "configuration_in_force", number=state.number, sequence=state.sequence
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
                if self.history.is_below_floor:
                    await self.async_verify_newest()

    async def _async_read_fencing(self) -> None:
        """Ask a few engines for the highest number that they were ordered under."""
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
            self.history.raise_floor(number)

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
