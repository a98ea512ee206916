"""Track the prompts that crash engines, together with the other hosts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from tarragonward_core import BackgroundTasks, FrameError, TargetError, log_event
from tarragonward_membership import MemberState, hash_name
from tarragonward_requests import (
    CrashSuspects,
    SendVerdict,
    fingerprint_request,
    fingerprint_segments,
)
from tarragonward_wire import PeerLinks, register_message

from . import const as c
from .completions import Completion
from .core import HostState
from .membership import MembershipTask

__all__ = ["PromptIdentity", "SuspectNews", "SuspectTask"]

METHOD = "POST"
TASK_NAME = "suspects"
MILLISECONDS = 1_000
GONE_STATES = frozenset({MemberState.DEAD, MemberState.LEAVING})
# What an entry of another version, or a corrupt one, may raise.
ENTRY_ERRORS = (ArithmeticError, LookupError, TypeError, ValueError)


@register_message
@dataclass(frozen=True)
class SuspectNews:
    """Entries of requests and of prompt segments under which engines crashed."""

    requests: tuple[Any, ...]
    segments: tuple[Any, ...]


class PromptIdentity:
    """Identifies a prompt and the blocks of tokens that it begins with.

    Prompts that share their first blocks have the same segments for these.
    """

    def __init__(
        self, account: str, completion: Completion, prefix_hashes: Iterable[int]
    ) -> None:
        self._account = account
        self._completion = completion
        self._prefix_hashes = tuple(prefix_hashes)[: c.MAX_SUSPECT_BLOCKS]

    @property
    def account(self) -> int:
        """A hash of the client account."""
        return hash_name(self._account)

    @property
    def body_size(self) -> int:
        """The size of the prompt in characters."""
        return len(self._completion.prompt)

    @cached_property
    def fingerprint(self) -> bytes:
        """The fingerprint that the prompt's repeats have, too."""
        completion = self._completion
        prompt = completion.prompt.encode()
        return fingerprint_request(self._account, METHOD, completion.model, b"", prompt)

    @cached_property
    def segments(self) -> tuple[bytes, ...]:
        """The fingerprints of the blocks, each with all those before it."""
        ids = (f"{block:x}" for block in self._prefix_hashes)
        return fingerprint_segments(self._completion.model, ids)


class SuspectTask:
    """Decides how prompts are sent, and exchanges crashes with the other hosts."""

    def __init__(
        self, host: HostState, links: PeerLinks, membership: MembershipTask
    ) -> None:
        self.suspects = CrashSuspects()
        self._host = host
        self._links = links
        self._membership = membership
        self._changed: tuple[set[bytes], set[bytes]] = (set(), set())
        self._is_changed = asyncio.Event()
        # How many suspects were sent again.
        self._repeated = 0
        self._background = BackgroundTasks(host.metrics)
        self._push_tasks: set[asyncio.Task[None]] = set()

    async def async_setup(self) -> None:
        """Start sending changes and expiring suspects."""
        self._background.start(TASK_NAME, self._async_run)

    async def async_unload(self) -> None:
        """Stop sending."""
        await self._background.async_unload()
        for task in self._push_tasks:
            task.cancel()
        await asyncio.gather(*self._push_tasks, return_exceptions=True)

    def evaluate(self, identity: PromptIdentity) -> SendVerdict:
        """Return whether and how a prompt may be sent."""
        return self.suspects.evaluate(
            identity, _now(), get_trial_delay=self._compute_trial_delay
        )

    def record_admitted(self, identity: PromptIdentity) -> None:
        """Record a prompt that is not refused for what it may do to engines."""
        self.suspects.segments.record_prompt(identity.segments)

    def record_refused(self, identity: PromptIdentity, verdict: SendVerdict) -> None:
        """Record that a prompt was refused because it crashed engines."""
        self._host.metrics.count("prompts_blamed")
        self.suspects.record_refused(identity, verdict, _now())

    def record_deferred(self, identity: PromptIdentity, verdict: SendVerdict) -> None:
        """Record that a prompt has to wait until it may be tried."""
        self.suspects.record_deferred(identity, verdict, _now())

    def record_crash(
        self,
        identity: PromptIdentity,
        engine: str,
        sent_at: float,
        verdict: SendVerdict | None = None,
    ) -> None:
        """Record that an engine crashed while it ran a prompt, sent by a verdict."""
        # An engine that is back has the name of the one that crashed.
        boot = int(time.time() // c.CRASH_TIME_BUCKET_SECONDS)
        number = hash_name(f"{engine}@{boot}")
        segments = self.suspects.record_crash(
            identity, number, sent_at, _now(), verdict or SendVerdict()
        )
        log_event("crash_noted", target=engine, fingerprint=identity.fingerprint.hex())
        self._notify([identity.fingerprint], segments)

    def record_answered(self, identity: PromptIdentity, began_at: float | None) -> None:
        """Record that an engine answered a prompt completely."""
        cleared = self.suspects.record_answered(identity, began_at, _now())
        requests = [identity.fingerprint] if cleared.is_request else []
        self._notify(requests, cleared.segments)

    @contextmanager
    def isolated_attempt(
        self, identity: PromptIdentity, verdict: SendVerdict
    ) -> Iterator[None]:
        """Tell the other hosts that this one is trying a suspect prompt."""
        self.suspects.begin_isolated_attempt(identity, verdict, _now())
        self._notify([identity.fingerprint], verdict.segments)
        try:
            yield
        finally:
            self.suspects.end_isolated_attempt(identity, verdict)

    def handle_news(self, news: SuspectNews) -> None:
        """Merge a peer's entries; raise FrameError if one is malformed."""
        trackers = (self.suspects.requests, self.suspects.segments)
        relayed: tuple[list[bytes], list[bytes]] = ([], [])
        try:
            for tracker, entries, stricter in zip(
                trackers, (news.requests, news.segments), relayed, strict=True
            ):
                for item in entries:
                    entry = tracker.unpack_entry(item)
                    if tracker.merge(entry, _now()):
                        stricter.append(entry.fingerprint)
        except ENTRY_ERRORS as err:
            raise FrameError(f"suspect entry is malformed: {err}") from None
        self._notify(*relayed)

    def _compute_trial_delay(self, fingerprint: bytes) -> float:
        """Return by how many seconds this host's trials come later than others'.

        Hosts that all try a refused prompt when it is due would each crash an engine.
        """
        name = f"{self._host.identity.address} {fingerprint.hex()}"
        return hash_name(name) % MILLISECONDS / MILLISECONDS * c.TRIAL_SPREAD_SECONDS

    def _notify(self, requests: Iterable[bytes], segments: Iterable[bytes]) -> None:
        self._changed[0].update(requests)
        self._changed[1].update(segments)
        if any(self._changed):
            self._is_changed.set()

    async def _async_run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(c.SUSPECT_ROUND_SECONDS):
                    await self._is_changed.wait()
            except TimeoutError:
                self._repeat_known()
            await asyncio.sleep(c.SUSPECT_BATCH_SECONDS)
            self._send_changes()
            self.suspects.expire(_now())

    def _repeat_known(self) -> None:
        """Send a few suspects again, for hosts that have started or missed them."""
        trackers = (self.suspects.requests, self.suspects.segments)
        first = self._repeated
        self._repeated += c.MAX_REPEATED_SUSPECTS
        for tracker, changed in zip(trackers, self._changed, strict=True):
            known = [f for f, _ in tracker.items() if tracker.is_for_all_hosts(f)]
            begin = first % max(1, len(known))
            repeated = (*known[begin:], *known[:begin])
            changed.update(repeated[: c.MAX_REPEATED_SUSPECTS])

    def _send_changes(self) -> None:
        self._is_changed.clear()
        trackers = (self.suspects.requests, self.suspects.segments)
        packed = []
        for tracker, changed in zip(trackers, self._changed, strict=True):
            entries = (tracker.build_entry(each, _now()) for each in changed)
            packed.append(tuple(e.pack() for e in entries if e is not None))
            changed.clear()
        if not any(packed):
            return
        news = SuspectNews(*packed)
        for member in self._membership.membership.get_members():
            if member.state not in GONE_STATES:
                task = asyncio.create_task(self._async_push(member, news))
                self._push_tasks.add(task)
                task.add_done_callback(self._push_tasks.discard)

    async def _async_push(self, member: Any, news: SuspectNews) -> None:
        try:
            await self._links.async_notify(
                member.listed.address, news, c.SUSPECT_PUSH_TIMEOUT_SECONDS
            )
        except TargetError as err:
            address = member.listed.address
            log_event("suspects_push_failed", peer=address, error=repr(err))


def _now() -> float:
    return asyncio.get_running_loop().time()
