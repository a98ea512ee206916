"""Keep the published records, routing table and targets, up to date on this host."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from absl import logging

from tarragonward_core import BackgroundTasks, FrameError, TargetError, log_event
from tarragonward_membership import RegisteredTarget, WithdrawnTarget
from tarragonward_wire import HttpServer

from . import const as c
from .clock import read_clock, read_suspended_seconds
from .follow_events import (
    ConfirmationAged,
    FollowEvent,
    HistoryLost,
    MarkConfirmed,
    PageRead,
    Pause,
    PeerDataApplied,
    PeerPullFailed,
    PeerReported,
    PullFromPeer,
    QuerySource,
    ReadAll,
    SourceAnswered,
    SourceFailed,
    Watch,
)
from .following import Follower
from .paged_read import PagedRead
from .peers import Peers
from .ports import HistoryLostError, Record, RecordParser, RecordReader, SourceError
from .published_tables import PublishedTables, log_ignored_marks
from .pulls import PullLimit
from .readers import PollingOrder
from .record_exchange import RecordHandler, async_pull_records, pack_age, unpack_age
from .record_store import RecordBatch, RecordStore
from .revisions import format_revision, get_epoch
from .state import GatewayState
from .withdrawals import SourceView, choose_linger

__all__ = ["PublicationTask"]

TASK_NAME = "publications"
AGE_CHECK_TASK_NAME = "publications_doubt"
# Builds without epochs don't read this section, and report in another one.
SECTION = "records"


class PublicationTask:
    """Fetches records from the source, and from peers that have newer ones."""

    def __init__(
        self,
        state: GatewayState,
        reader: RecordReader,
        parser: RecordParser,
        peers: Peers,
        get_polling_order: Callable[[], PollingOrder],
    ) -> None:
        self._state = state
        self._get_polling_order = get_polling_order
        self._reader = reader
        self._parser = parser
        self._peers = peers
        self._follower = Follower(state.random, read_clock(), self._choose_start_wait())
        self._paged_read = PagedRead()
        self._background = BackgroundTasks(state.metrics)
        self._pulls: set[asyncio.Task[None]] = set()
        self._pull_limit = PullLimit()
        self._wake = asyncio.Event()
        self._has_announced = False
        self._tables = PublishedTables(parser)
        self.record_store = RecordStore(
            self._tables.get_version, self._tables.is_relevant
        )
        self.on_table: list[Callable[[], None]] = []
        # Called with new records, and whether the source came back from a copy.
        self.on_records: list[Callable[[Sequence[Record], bool], None]] = []
        # Called with each new entry of a target.
        self.on_target: list[Callable[[RegisteredTarget], None]] = []
        self._control = HttpServer(
            state.settings.control, RecordHandler(state, self.record_store).async_handle
        )
        peers.add_section(SECTION, self._build_section, self._apply_section)

    def _choose_start_wait(self) -> float:
        settings = self._state.settings
        others = [seed for seed in settings.seeds if seed != settings.control]
        is_seed = len(others) < len(settings.seeds)
        return 0.0 if is_seed or not others else c.START_WAIT_SECONDS

    async def async_setup(self) -> None:
        """Start following the source and answering the record requests of peers."""
        await self._control.async_setup()
        self._background.start(TASK_NAME, self._async_follow)
        self._background.start(AGE_CHECK_TASK_NAME, self._async_check_confirmed_age)

    async def async_unload(self) -> None:
        """Stop following the source and answering peers."""
        await self._background.async_unload()
        pulls = list(self._pulls)
        for pull in pulls:
            pull.cancel()
        await asyncio.gather(*pulls, return_exceptions=True)
        await self._control.async_unload()

    async def _async_follow(self) -> None:
        while True:
            self._wake.clear()
            age = self._get_confirmed_age()
            step = self._follower.choose_step(
                self._get_polling_order(), age, read_clock()
            )
            if isinstance(step, Pause):
                await self._async_until_woken(asyncio.sleep(step.seconds))
                continue
            begun_at = read_clock()
            if not await self._async_until_woken(self._async_query_source(step)):
                self._record_abandoned_query(step, read_clock() - begun_at)

    def _record_abandoned_query(self, step: ReadAll | Watch, seconds: float) -> None:
        self._state.metrics.count("source_asks_given_up")
        ask = "reading" if isinstance(step, ReadAll) else "watch"
        log_event("source_ask_given_up", ask=ask, seconds=seconds)

    def _get_confirmed_age(self) -> float:
        return read_clock() - self._state.table_confirmed_at

    async def _async_check_confirmed_age(self) -> None:
        """Report the confirmed age to the follower, which may abandon a dead watch."""
        while True:
            left = c.MAX_CONFIRMED_AGE_SECONDS - self._get_confirmed_age()
            await asyncio.sleep(max(left, c.CONFIRMED_AGE_CHECK_SECONDS))
            self._handle_event(ConfirmationAged(self._get_confirmed_age()))

    async def _async_until_woken(self, work: Any) -> bool:
        """Run the work until it ends or is cancelled by the wake event.

        Return whether it ended by itself.
        """
        work_task = asyncio.ensure_future(work)
        wake_task = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait(
                {work_task, wake_task}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            wake_task.cancel()
            if not work_task.done():
                work_task.cancel()
            done, _ = await asyncio.gather(work_task, wake_task, return_exceptions=True)
        # An unexpected error goes to the supervisor, which logs it and waits a second.
        # If it were ignored, an unreadable answer would be requested again at once.
        if isinstance(done, Exception):
            raise done
        return not isinstance(done, asyncio.CancelledError)

    async def _async_query_source(self, step: ReadAll | Watch) -> None:
        try:
            answered = await self._async_read(step)
        except HistoryLostError:
            known = format_revision(self.record_store.complete_revision)
            log_event("source_history_lost", revision=known)
            self._paged_read.clear()
            self._handle_event(HistoryLost())
        except SourceError as err:
            if not self._follower.failures:
                log_event("source_lost", error=str(err))
            self._handle_event(SourceFailed())
        else:
            if self._follower.failures:
                log_event("source_regained", failures=self._follower.failures)
            self._handle_event(answered)
            if isinstance(answered, SourceAnswered):
                self._notify_peers(answered.has_changes)

    def _notify_peers(self, has_changes: bool) -> None:
        """Notify peers that the source answered and which revision this host has."""
        if not self._has_announced:
            # Hosts that started together exchanged hellos before this one had records.
            # Without this message they would learn of the records in the next gossip
            # round, up to a second later, and refuse all callers until then.
            self._has_announced = True
            self._peers.send_section_to_all(SECTION)
        elif self._get_polling_order().group:
            # In a large fleet the standbys depend on the messages of the few pollers.
            self._peers.send_now(is_urgent=has_changes)

    async def _async_read(self, step: ReadAll | Watch) -> SourceAnswered | PageRead:
        if isinstance(step, ReadAll):
            return await self._async_read_page()
        after, suspended = self.record_store.complete_revision, read_suspended_seconds()
        read = await self._reader.async_watch(
            after, step.seconds, c.WATCH_SILENCE_TIMEOUT_SECONDS
        )
        # If the process was suspended, the answer may have waited in the socket. If
        # that time were not added, the host and its peers would take an old table for
        # just confirmed.
        age = read.age_seconds + max(0.0, read_suspended_seconds() - suspended)
        new = self.apply(RecordBatch(read.records, read.revision, False), after)
        is_gap = not read.records and read.revision > after
        # Items of others end watches, too, so they are followed by the same pause.
        has_others = any(not self.record_store.is_relevant(r.key) for r in read.records)
        return SourceAnswered(bool(new) or has_others, is_gap, age)

    async def _async_read_page(self) -> SourceAnswered | PageRead:
        requested_at = read_clock()
        after = self._paged_read.get_after_key(requested_at)
        page = await self._reader.async_read_page(after, c.READ_SILENCE_TIMEOUT_SECONDS)
        records = filter(lambda r: self.record_store.is_relevant(r.key), page.records)
        page = replace(page, records=tuple(records))
        read = self._paged_read.add_page(page, requested_at)
        if read is None:
            return PageRead()
        log_event(
            "records_read",
            count=len(read.records),
            revision=format_revision(read.revision),
        )
        if read.revision < self.record_store.complete_revision:
            self._state.metrics.count("source_reads_behind")
            log_event(
                "source_behind",
                revision=format_revision(read.revision),
                known=format_revision(self.record_store.complete_revision),
            )
        new = self.apply(
            RecordBatch(read.records, read.revision, True),
            self.record_store.complete_revision,
        )
        age = self._paged_read.compute_age(read_clock())
        return SourceAnswered(bool(new), age_seconds=age)

    def _handle_event(self, event: FollowEvent) -> None:
        now = read_clock()
        hosts = self._peers.members.count_hosts()
        for effect in self._follower.handle(
            event, self.record_store.complete_revision, hosts, now
        ):
            if isinstance(effect, MarkConfirmed):
                self._confirm(now - effect.age_seconds)
            elif isinstance(effect, PullFromPeer):
                self._pull(effect, now)
            elif isinstance(effect, QuerySource):
                self._wake.set()

    def _pull(self, effect: PullFromPeer, now: float) -> None:
        if not self._pull_limit.begin(now, effect.name):
            return
        pull = asyncio.create_task(self._async_pull(effect, now))
        self._pulls.add(pull)
        pull.add_done_callback(self._pulls.discard)

    def _confirm(self, at: float) -> None:
        self._state.table_confirmed_at = max(self._state.table_confirmed_at, at)

    async def _async_pull(self, effect: PullFromPeer, begun_at: float) -> None:
        """Pull missing records from a peer, and report a failed pull after a delay."""
        try:
            is_applied = await self._async_pull_from(effect, begun_at)
            if not is_applied:
                wait = self._state.random.random() * c.MAX_NEXT_PEER_DELAY_SECONDS
                await asyncio.sleep(wait)
        finally:
            self._pull_limit.end(begun_at)
        if not is_applied:
            self._handle_event(PeerPullFailed(effect.name))

    async def _async_pull_from(self, effect: PullFromPeer, begun_at: float) -> bool:
        """Pull and apply the records of one peer; return whether it sent them."""
        name = effect.name
        address = self._peers.get_control_address(name)
        if address is None:
            return False
        after = 0 if effect.is_full else self.record_store.complete_revision
        requested_at = read_clock()

        def record_progress() -> None:
            self._pull_limit.record_progress(begun_at, read_clock())

        try:
            answer = await async_pull_records(address, after, record_progress)
        except (TargetError, FrameError) as err:
            log_event("peer_gave_no_records", peer=name, error=str(err))
            return False
        new = self.apply(answer.batch, after)
        log_event(
            "records_from_peer",
            peer=name,
            count=len(new),
            after=format_revision(after),
            bytes=answer.size,
            seconds=read_clock() - requested_at,
        )
        self._handle_event(PeerDataApplied())
        if not self._has_announced:
            self._has_announced = True
            self._peers.send_now(is_urgent=True)
        if answer.batch.complete_revision >= self.record_store.latest_revision:
            self._confirm(requested_at - answer.confirmed_age)
        return True

    def _build_section(self) -> tuple[int, int | None, int]:
        age = read_clock() - self._state.table_confirmed_at
        table = self._state.table
        return (
            self.record_store.latest_revision,
            pack_age(age),
            table.version if table else 0,
        )

    def _apply_section(self, name: str, data: Any, age: float) -> None:
        latest_revision, confirmed_age, version = data
        if not all(type(n) is int and n >= 0 for n in (latest_revision, version)):
            raise ValueError("revision or version is not a non-negative integer")
        before = self._state.table_confirmed_at
        table = self._state.table
        has_later_table = table is not None and version > table.version
        peer_age = unpack_age(confirmed_age) + age
        self._handle_event(
            PeerReported(name, latest_revision, peer_age, has_later_table)
        )
        is_newer = self._state.table_confirmed_at - before > c.RELAY_MIN_GAIN_SECONDS
        # Messages of another group reach one host of this one. If it did not relay
        # them, the rest of the group would query the source for known data. Messages of
        # the own group have reached all of its hosts.
        if (
            is_newer
            and self._get_polling_order().group
            and not self._peers.is_cell_peer(name)
        ):
            self._peers.send_now()

    def apply(self, batch: RecordBatch, after: int) -> list[Record]:
        """Apply records, in any order; return those that were new."""
        known = self.record_store.complete_revision
        is_restored = 0 < known and get_epoch(known) < get_epoch(
            batch.complete_revision
        )
        if is_restored:
            self._state.metrics.count("source_restorations")
            log_event("source_restored", epoch=get_epoch(batch.complete_revision))
        new = self.record_store.apply(batch, after)
        for notify in self.on_records:
            notify(new, is_restored)
        removed = [record for record in new if record.value is None]
        for record in new:
            if record.value is not None:
                self._apply_record(record, is_restored)
        self._withdraw(removed, batch.is_snapshot, is_restored)
        return new

    def _apply_record(self, record: Record, is_restored: bool) -> None:
        name = self._parser.get_target_name(record.key)
        if name is None:
            if self._parser.is_table(record.key):
                self._apply_table(record)
            return
        target = self._parser.parse_target(record)
        if target is None or self._state.registry.lacks_incarnation(target):
            # Any writer may overwrite a target's entry. The target is removed, as its
            # state is unknown; its own next record, a second later, registers it again.
            self._state.metrics.count("target_records_refused")
            log_event("target_record_refused", key=record.key)
            self._remove_target(WithdrawnTarget(name, record.revision))
            return
        if is_restored and self._state.registry.is_withdrawn(target):
            self._suspend(target)
        else:
            self._state.registry.resume(target)
        if self._state.registry.apply(target):
            log_event(
                "target_registered",
                target=target.id,
                address=target.address,
                ready=target.is_ready,
            )
            for notify in self.on_target:
                notify(target)

    def _suspend(self, target: RegisteredTarget) -> None:
        """Send nothing to a withdrawn target until its entry is known to be current.

        The copy that the source came back from is older than the withdrawal. The entry
        of a target that has ended expires; that of a live one is there after the hold.
        """
        registry = self._state.registry
        registry.suspend(target)
        log_event("target_suspended", target=target.id)
        asyncio.get_running_loop().call_later(
            c.RESTORED_TARGET_HOLD_SECONDS, registry.resume, target
        )

    def _apply_table(self, record: Record) -> None:
        table = self._tables.parse(record)
        if table is None:
            self._record_refused_table(record)
        elif self._state.install_table(table):
            log_event("table_in_force", version=table.version, routes=len(table.routes))
            if ignored := log_ignored_marks(table):
                self._state.metrics.count("routes_with_ignored_marks", by=ignored)
            for notify in self.on_table:
                notify()

    def _record_refused_table(self, record: Record) -> None:
        # The host keeps the previous table, so nothing else would show the refusal.
        self._state.metrics.count("tables_refused")
        log_event(
            "table_refused",
            level=logging.ERROR,
            key=record.key,
            revision=format_revision(record.revision),
        )

    def _withdraw(
        self, records: Iterable[Record], is_full_read: bool, is_restored: bool
    ) -> None:
        """Remove the targets whose records are gone, at once or after a delay.

        While the source is in an outage the records of healthy targets expire, and
        they return moments after it recovers. A source that comes back from a copy has
        lost the newest of them. If these targets were removed at once, a
        service could have none and all its requests would be refused. A target that
        leaves keeps serving during its drain time, so one that was ready is used for a
        part of that time, and a newer record keeps it registered.
        """
        removed = []
        for record in records:
            name = self._parser.get_target_name(record.key)
            known = name and self._state.registry.get(name)
            if known:
                removed.append((known, record.revision))
        usable = filter(self._state.registry.is_usable, (known for known, _ in removed))
        counts = Counter(target.service for target in usable)
        view = self._describe_source(is_full_read, is_restored)
        lingers = {
            service: choose_linger(
                view,
                self._state.settings.bounds.drain_seconds,
                count,
                len(self._state.registry.get_ready(service)),
            )
            for service, count in counts.items()
        }
        for target, revision in removed:
            withdrawn = WithdrawnTarget(target.name, revision)
            is_usable = self._state.registry.is_usable(target)
            linger = lingers[target.service] if is_usable else None
            if linger is None:
                self._remove_target(withdrawn)
                continue
            log_event(
                "target_lapsed",
                target=target.id,
                reason=linger.reason.value,
                confirmed_age=view.confirmed_age,
                seconds=linger.seconds,
            )
            asyncio.get_running_loop().call_later(
                linger.seconds, self._remove_target, withdrawn
            )

    def _describe_source(self, is_full_read: bool, is_restored: bool) -> SourceView:
        follower, confirmed_at = self._follower, self._state.table_confirmed_at
        return SourceView(
            confirmed_age=self._get_confirmed_age(),
            is_after_outage=follower.is_after_outage(read_clock()),
            is_confirmed_since_outage=follower.is_after_last_outage(confirmed_at),
            is_full_read=is_full_read,
            is_restored=is_restored,
        )

    def _remove_target(self, withdrawn: WithdrawnTarget) -> None:
        if self._state.registry.apply(withdrawn):
            log_event("target_withdrawn", target=withdrawn.name)
