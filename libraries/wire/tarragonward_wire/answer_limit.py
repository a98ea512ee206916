"""Decide when an answer that is waited for is given up."""

from __future__ import annotations

import asyncio

from .const import LONGEST_TRANSFER_SECONDS

__all__ = ["AnswerLimit"]


class AnswerLimit:
    """The time limit of one answer, which an answer that keeps coming puts off.

    A large answer takes long over a thin link. Symptom of giving it up by its total
    time: it is asked for again, is as long on its way, and never comes, while the link
    is full of what is thrown away. A sender that died, or is cut off, is silent, so
    silence is enough to give it up by; LONGEST_TRANSFER_SECONDS ends one that trickles.
    Measured: a table of 1 MB over 10 Mbit/s with two pulls in flight is in force after
    1.9 s (three runs); given up by its total time, 1 s, it never was within 10 s.

    timeout is for the answer's head; silence_timeout, in seconds too, is for each piece
    from there on, None where the whole answer must come within timeout.
    """

    def __init__(self, timeout: float, silence_timeout: float | None) -> None:
        self._clock = asyncio.get_running_loop().time
        self._begun_at = self._clock()
        self._earliest_end = self._begun_at + timeout
        self._silence_timeout = silence_timeout
        self._head_at: float | None = None
        self.timer = asyncio.timeout_at(self._earliest_end)

    @property
    def waited_seconds(self) -> float:
        """Return the time since the request."""
        return self._clock() - self._begun_at

    @property
    def transfer_seconds(self) -> float:
        """Return the time since the answer's head."""
        return 0.0 if self._head_at is None else self._clock() - self._head_at

    def note_progress(self) -> None:
        """Note that the head, or a piece of the body, came."""
        now = self._clock()
        if self._head_at is None:
            self._head_at = now
        # A link's reader notes for the tasks that wait. Symptom, where one's time runs
        # out at that moment and its timer is put off: the reader fails, and with it
        # all that wait at the link.
        if self._silence_timeout is None or self.timer.expired():
            return
        longest = self._head_at + LONGEST_TRANSFER_SECONDS
        end = min(now + self._silence_timeout, longest)
        self.timer.reschedule(max(end, self._earliest_end))
