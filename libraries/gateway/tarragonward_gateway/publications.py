"""Follow what is published, the routing table and the targets, from the source."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging

from tarragonward_core import BackgroundTasks, FrameError, TargetError, log_event
from tarragonward_membership import RegisteredTarget, WithdrawnTarget
from tarragonward_wire import HttpServer

from . import const as c
from .clock import read_clock, read_suspended_seconds
from .following import (
    ConfirmationAged,
    Follower,
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
from .paged_read import PagedRead
from .peers import Peers
from .ports import HistoryLostError, Record, RecordParser, RecordReader, SourceError
from .pulls import PullLimit
from .readers import PollingOrder
from .record_exchange import RecordHandler, async_pull_records, pack_age, unpack_age
from .record_store import RecordBatch, RecordStore
from .state import GatewayState

__all__ = ["PublicationTask"]

TASK_NAME = "publications"
DOUBT_TASK_NAME = "publications_doubt"
SECTION = "publications"


class PublicationTask:
    """Hold the newest records, from the source or, where it is silent, from peers."""

    def __init__(
        self,
        state: GatewayState,
        reader: RecordReader,
        parser: RecordParser,
        peers: Peers,
        get_polling_order: Callable[[], PollingOrder],
    ) -> None:
        self._state = state
        self._get_place = get_polling_order
        self._reader = reader
        self._parser = parser
        self._peers = peers
        self._follower = Follower(state.random, read_clock(), self._choose_start_wait())
        self._reading = PagedRead()
        self._background = BackgroundTasks(state.metrics)
        self._pulls: set[asyncio.Task[None]] = set()
        self._pull_limit = PullLimit()
        self._wake = asyncio.Event()
        self._has_told = False
        self.book = RecordStore()
        self.on_table: list[Callable[[], None]] = []
        self._control = HttpServer(
            state.settings.control, RecordHandler(state, self.book).async_handle
        )
        peers.add_section(SECTION, self._build_section, self._take_section)

    def _choose_start_wait(self) -> float:
        settings = self._state.settings
        others = [seed for seed in settings.seeds if seed != settings.control]
        is_seed = len(others) < len(settings.seeds)
        return 0.0 if is_seed or not others else c.START_WAIT_SECONDS

    async def async_setup(self) -> None:
        """Start to follow, and to give peers what they lack."""
        await self._control.async_setup()
        self._background.start(TASK_NAME, self._async_follow)
        self._background.start(DOUBT_TASK_NAME, self._async_doubt)

    async def async_unload(self) -> None:
        """Stop to follow."""
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
            step = self._follower.choose_step(self._get_place(), age, read_clock())
            if isinstance(step, Pause):
                await self._async_until_woken(asyncio.sleep(step.seconds))
                continue
            begun_at = read_clock()
            if not await self._async_until_woken(self._async_ask(step)):
                self._note_given_up(step, read_clock() - begun_at)

    def _note_given_up(self, step: ReadAll | Watch, seconds: float) -> None:
        self._state.metrics.count("source_asks_given_up")
        ask = "reading" if isinstance(step, ReadAll) else "watch"
        log_event("source_ask_given_up", ask=ask, seconds=seconds)

    def _get_confirmed_age(self) -> float:
        return read_clock() - self._state.table_confirmed_at

    async def _async_doubt(self) -> None:
        """Give up a watch once nobody has confirmed for long what this host holds."""
        while True:
            left = c.MAX_CONFIRMED_AGE_SECONDS - self._get_confirmed_age()
            await asyncio.sleep(max(left, c.CONFIRMED_AGE_CHECK_SECONDS))
            self._hear(ConfirmationAged(self._get_confirmed_age()))

    async def _async_until_woken(self, work: Any) -> bool:
        """Do the work until its end, or until a peer shows that it is in vain.

        Return whether it came to its end.
        """
        doing = asyncio.ensure_future(work)
        waking = asyncio.create_task(self._wake.wait())
        try:
            await asyncio.wait({doing, waking}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            waking.cancel()
            if not doing.done():
                doing.cancel()
            done, _ = await asyncio.gather(doing, waking, return_exceptions=True)
        # What nobody foresaw goes to the supervisor, which says it and waits a second.
        # Passed over, an answer that can't be read would be asked for without a pause.
        if isinstance(done, Exception):
            raise done
        return not isinstance(done, asyncio.CancelledError)

    async def _async_ask(self, step: ReadAll | Watch) -> None:
        try:
            answered = await self._async_read(step)
        except HistoryLostError:
            log_event("source_history_lost", revision=self.book.complete)
            self._reading.clear()
            self._hear(HistoryLost())
        except SourceError as err:
            if not self._follower.failures:
                log_event("source_lost", error=str(err))
            self._hear(SourceFailed())
        else:
            if self._follower.failures:
                log_event("source_regained", failures=self._follower.failures)
            self._hear(answered)
            if isinstance(answered, SourceAnswered):
                self._tell_answer(answered.has_changes)

    def _tell_answer(self, has_changes: bool) -> None:
        """Tell peers that the source answered, and what this host holds."""
        if not self._has_told:
            # Hosts that start together each greeted this one before it held anything.
            # Symptom: they hear of it at their turn, up to a second later, and refuse
            # all callers meanwhile. It is told once, by the few that read first.
            self._has_told = True
            self._peers.send_section_to_all(SECTION)
        elif self._get_place().group:
            # In a large fleet few hosts ask, and the others wait for their word.
            self._peers.send_now(is_urgent=has_changes)

    async def _async_read(self, step: ReadAll | Watch) -> SourceAnswered | PageRead:
        if isinstance(step, ReadAll):
            return await self._async_read_page()
        after, suspended = self.book.complete, read_suspended_seconds()
        read = await self._reader.async_watch(
            after, step.seconds, c.WATCH_SILENCE_TIMEOUT_SECONDS
        )
        # The answer may have lain in the socket of a host that stood still. Symptom:
        # the host, and all that hear it, take an old table for confirmed just now.
        age = read.age_seconds + max(0.0, read_suspended_seconds() - suspended)
        new = self.take(RecordBatch(read.records, read.revision, False), after)
        is_gap = not read.records and read.revision > after
        return SourceAnswered(bool(new), is_gap, age)

    async def _async_read_page(self) -> SourceAnswered | PageRead:
        asked_at = read_clock()
        after = self._reading.get_after_key(asked_at)
        page = await self._reader.async_read_page(after, c.READ_SILENCE_TIMEOUT_SECONDS)
        read = self._reading.add_page(page, asked_at)
        if read is None:
            return PageRead()
        log_event("records_read", count=len(read.records), revision=read.revision)
        new = self.take(
            RecordBatch(read.records, read.revision, True), self.book.complete
        )
        age = self._reading.compute_age(read_clock())
        return SourceAnswered(bool(new), age_seconds=age)

    def _hear(self, event: FollowEvent) -> None:
        now = read_clock()
        hosts = self._peers.members.count_hosts()
        for effect in self._follower.handle(event, self.book.complete, hosts, now):
            if isinstance(effect, MarkConfirmed):
                self._confirm(now - effect.age_seconds)
            elif isinstance(effect, PullFromPeer):
                self._pull(effect.name, now)
            elif isinstance(effect, QuerySource):
                self._wake.set()

    def _pull(self, name: str, now: float) -> None:
        if not self._pull_limit.begin(now):
            return
        pull = asyncio.create_task(self._async_pull(name, now))
        self._pulls.add(pull)
        pull.add_done_callback(self._pulls.discard)

    def _confirm(self, at: float) -> None:
        self._state.table_confirmed_at = max(self._state.table_confirmed_at, at)

    async def _async_pull(self, name: str, begun_at: float) -> None:
        """Take over from a peer what this host lacks, or from another one."""
        try:
            is_given = await self._async_take_from(name)
            if not is_given:
                wait = self._state.random.random() * c.MAX_NEXT_PEER_DELAY_SECONDS
                await asyncio.sleep(wait)
        finally:
            self._pull_limit.end(begun_at)
        if not is_given:
            self._hear(PeerPullFailed(name))

    async def _async_take_from(self, name: str) -> bool:
        """Return whether a peer gave what this host lacks."""
        address = self._peers.get_control_address(name)
        if address is None:
            return False
        asked_at, after = read_clock(), self.book.complete
        try:
            given = await async_pull_records(address, after)
        except (TargetError, FrameError) as err:
            log_event("peer_gave_no_records", peer=name, error=str(err))
            return False
        new = self.take(given.portion, after)
        log_event("records_from_peer", peer=name, count=len(new), after=after)
        self._hear(PeerDataApplied())
        if not self._has_told:
            self._has_told = True
            self._peers.send_now(is_urgent=True)
        if given.portion.complete >= self.book.changed:
            self._confirm(asked_at - given.confirmed_age)
        return True

    def _build_section(self) -> tuple[int, int | None, int]:
        age = read_clock() - self._state.table_confirmed_at
        table = self._state.table
        return self.book.changed, pack_age(age), table.version if table else 0

    def _take_section(self, name: str, data: Any, age: float) -> None:
        changed, confirmed_age, _version = data
        if type(changed) is not int or changed < 0:
            raise ValueError("not a revision")
        before = self._state.table_confirmed_at
        self._hear(PeerReported(name, changed, unpack_age(confirmed_age) + age))
        is_news = self._state.table_confirmed_at - before > c.RELAY_MIN_GAIN_SECONDS
        # Word of another group reaches one host of this one. Symptom: the rest of the
        # group asks the source for what is known. Mates were told by their own mate.
        if is_news and self._get_place().group and not self._peers.is_cell_peer(name):
            self._peers.send_now()

    def take(self, portion: RecordBatch, after: int) -> list[Record]:
        """Take records in, in any order; return those that were new."""
        new = self.book.take(portion, after)
        gone = [record for record in new if record.value is None]
        for record in new:
            if record.value is not None:
                self._put(record)
        self._withdraw(gone, portion.is_whole)
        return new

    def _put(self, record: Record) -> None:
        name = self._parser.get_target_name(record.key)
        if name is None:
            self._put_table(record)
            return
        target = self._parser.parse_target(record)
        if target is None:
            # Any writer may leave an entry there. What it says instead of a target's
            # own is not known, so no target is used by it; the target's own next
            # record, a second later, brings it back.
            self._state.metrics.count("target_records_refused")
            log_event("target_record_refused", key=record.key)
            self._take_out(WithdrawnTarget(name, record.revision))
        elif self._state.registry.apply(target):
            log_event(
                "target_registered",
                target=target.id,
                address=target.address,
                ready=target.is_ready,
            )

    def _put_table(self, record: Record) -> None:
        table = self._parser.parse_table(record)
        if table is None:
            self._note_refused_table(record)
        elif self._state.install_table(table):
            log_event("table_in_force", version=table.version, routes=len(table.routes))
            for notify in self.on_table:
                notify()

    def _note_refused_table(self, record: Record) -> None:
        if self._parser.is_table(record.key):
            # The host goes on by the table before it, so nothing else would show it.
            self._state.metrics.count("tables_refused")
            log_event(
                "table_refused",
                level=logging.ERROR,
                key=record.key,
                revision=record.revision,
            )

    def _withdraw(self, records: Iterable[Record], is_reading: bool) -> None:
        """Take out the targets whose records are gone.

        While the source is away the records of targets that are well lapse, and are
        back moments after it. Symptom: a service has no target, and all its requests
        are refused. A target that leaves goes on serving for a known time, so one that
        was ready is used for a part of that time more; a newer record keeps it.
        """
        gone = []
        for record in records:
            name = self._parser.get_target_name(record.key)
            known = name and self._state.registry.get(name)
            if known:
                gone.append((known, record.revision))
        shares = self._choose_linger_shares([target for target, _ in gone], is_reading)
        for target, revision in gone:
            withdrawn = WithdrawnTarget(target.name, revision)
            share = shares[target.service] if target.is_ready else 0.0
            if not share:
                self._take_out(withdrawn)
                continue
            log_event("target_lapsed", target=target.id)
            linger = share * self._state.settings.bounds.drain_seconds
            asyncio.get_running_loop().call_later(linger, self._take_out, withdrawn)

    def _choose_linger_shares(
        self, gone: list[RegisteredTarget], is_reading: bool
    ) -> dict[str, float]:
        """Return by service how much of the drain time its gone targets are used."""
        now = read_clock()
        is_silent = (
            now - self._state.table_confirmed_at > c.OUTAGE_CONFIRMED_AGE_SECONDS
        )
        is_outage = is_silent or self._follower.is_after_outage(now)
        counts = Counter(target.service for target in gone if target.is_ready)
        shares = dict.fromkeys((target.service for target in gone), 0.0)
        for service, count in counts.items():
            ready = len(self._state.registry.get_ready(service))
            if is_outage:
                most = c.LINGER_SHARE if is_reading else c.GUESSED_LINGER_SHARE
                shares[service] = most
            elif count >= max(c.LAPSE_MIN_TARGETS, c.LAPSE_MIN_SHARE * ready):
                shares[service] = c.GUESSED_LINGER_SHARE
        return shares

    def _take_out(self, withdrawn: WithdrawnTarget) -> None:
        if self._state.registry.apply(withdrawn):
            log_event("target_withdrawn", target=withdrawn.name)
