"""Limit the time that a client waits for an answer."""

from __future__ import annotations

import asyncio

from .const import MAX_TRANSFER_SECONDS
from .pause_timeout import PauseTimeout

__all__ = ["AnswerDeadline"]


class AnswerDeadline:
    """The deadline of an answer, extended as long as the answer makes progress.

    A large answer takes long over a slow link. With a fixed total timeout it would be
    aborted and requested again without ever completing, while the discarded data
    saturates the link: a table of 1 MB over 10 Mbit/s with two pulls in flight is
    applied after 1.9 s, but with a total timeout of 1 s it was not within 10 s. A dead
    or disconnected sender is silent, so inactivity is a sufficient criterion;
    MAX_TRANSFER_SECONDS bounds a sender that only trickles.

    timeout is the limit for the answer's head, and inactivity_timeout the limit for
    each piece of the body after it, both in seconds. Without an inactivity_timeout the
    whole answer must arrive within timeout.
    """

    def __init__(self, timeout: float, inactivity_timeout: float | None) -> None:
        self._clock = asyncio.get_running_loop().time
        self._started_at = self._clock()
        self._min_deadline = self._started_at + timeout
        self._inactivity_timeout = inactivity_timeout
        self._head_at: float | None = None
        self.timer = PauseTimeout(self._min_deadline)

    @property
    def waited_seconds(self) -> float:
        """Return the seconds since the request was started."""
        return self._clock() - self._started_at

    @property
    def transfer_seconds(self) -> float:
        """Return the seconds since the answer's head arrived."""
        return 0.0 if self._head_at is None else self._clock() - self._head_at

    def record_progress(self) -> None:
        """Extend the deadline: the head or a piece of the body arrived."""
        now = self._clock()
        if self._head_at is None:
            self._head_at = now
        # The reader of a link calls this for all pending requests. Rescheduling a timer
        # that has just expired raises, which would end the reader and with it all
        # pending requests of the link.
        if self._inactivity_timeout is None or self.timer.expired():
            return
        max_deadline = self._head_at + MAX_TRANSFER_SECONDS
        deadline = min(now + self._inactivity_timeout, max_deadline)
        self.timer.reschedule(max(deadline, self._min_deadline))
