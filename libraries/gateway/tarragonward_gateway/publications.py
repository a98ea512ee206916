"""Follow what is published, the routing table and the targets, from the source."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from tarragonward_core import log_event
from tarragonward_membership import Withdrawn

from . import const as c
from .ports import HistoryLostError, Record, RecordParser, RecordReader, SourceError
from .state import GatewayState

__all__ = ["PublicationTask"]


class PublicationTask:
    """Read all once, then watch; read all again where the watch's history is lost."""

    def __init__(
        self, state: GatewayState, reader: RecordReader, parser: RecordParser
    ) -> None:
        self._state = state
        self._reader = reader
        self._parser = parser
        self._task: asyncio.Task[None] | None = None
        self._revision: int | None = None
        self._failures = 0
        self.on_table: list[Callable[[], None]] = []

    async def async_setup(self) -> None:
        """Start to follow."""
        self._task = asyncio.create_task(self._async_follow())

    async def async_unload(self) -> None:
        """Stop to follow."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _async_follow(self) -> None:
        while True:
            try:
                await self._async_step()
            except HistoryLostError:
                log_event("source_history_lost", revision=self._revision)
                self._revision = None
            except SourceError as err:
                await self._async_wait_after(err)
            else:
                self._note_answer()

    async def _async_step(self) -> None:
        if self._revision is None:
            read = await self._reader.async_read_all(c.READ_SECONDS)
            self._apply_all(read.records, read.revision)
        else:
            timeout = c.WATCH_SECONDS + c.WATCH_ANSWER_SECONDS
            read = await self._reader.async_watch(
                self._revision, c.WATCH_SECONDS, timeout
            )
            self.apply(read.records)
        self._revision = read.revision

    def _note_answer(self) -> None:
        if self._failures:
            log_event("source_regained", failures=self._failures)
        self._failures = 0
        self._state.table_confirmed_at = asyncio.get_running_loop().time()

    async def _async_wait_after(self, err: SourceError) -> None:
        if not self._failures:
            log_event("source_lost", error=str(err))
        wait = min(
            c.SOURCE_RETRY_FIRST_SECONDS * 2**self._failures,
            c.SOURCE_RETRY_MAX_SECONDS,
        )
        self._failures = min(self._failures + 1, 16)
        await asyncio.sleep(wait * self._state.random.uniform(0.5, 1.0))

    def _apply_all(self, records: Iterable[Record], revision: int) -> None:
        targets = []
        for record in records:
            self._apply_table(record)
            target = self._parser.parse_target(record)
            if target is not None:
                targets.append(target)
        self._state.registry.apply_all(targets, revision)
        log_event("targets_read", count=len(targets), revision=revision)

    def apply(self, records: Iterable[Record]) -> None:
        """Take changes in, in any order."""
        for record in records:
            target_id = self._parser.get_target_id(record.key)
            if target_id is None:
                self._apply_table(record)
            elif record.value is None:
                if self._state.registry.apply(Withdrawn(target_id, record.revision)):
                    log_event("target_withdrawn", target=target_id)
            else:
                self._apply_target(record)

    def _apply_target(self, record: Record) -> None:
        target = self._parser.parse_target(record)
        if target is None:
            log_event("target_record_refused", key=record.key)
        elif self._state.registry.apply(target):
            log_event(
                "target_registered",
                target=target.id,
                address=target.address,
                ready=target.is_ready,
            )

    def _apply_table(self, record: Record) -> None:
        table = self._parser.parse_table(record)
        if table is not None and self._state.put_in_force(table):
            log_event("table_in_force", version=table.version, routes=len(table.routes))
            for notify in self.on_table:
                notify()
