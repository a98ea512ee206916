"""Decide which events of a stream to forward next, over all runs that produce it."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from . import const as c
from .events import NextEvents, StreamEvent

__all__ = ["EventNumbering", "EventNumberings", "EventSequence"]

FIRST_COUNTED_ID = 1
VARIED = 0


class EventNumbering(Enum):
    """How the targets of a service number the events of a stream.

    COUNTING: ids increase by one. SPARSE: mostly by more, not always by the same.
    """

    UNKNOWN = "unknown"
    COUNTING = "counting"
    SPARSE = "sparse"


FIRST_STEPS = {
    EventNumbering.UNKNOWN: None,
    EventNumbering.COUNTING: 1,
    EventNumbering.SPARSE: VARIED,
}


class EventNumberings:
    """The numbering of each service, learned from whole streams; times in seconds.

    It is forgotten if no stream shows it any more, or two targets contradict it.
    """

    def __init__(self) -> None:
        self._known: dict[str, tuple[EventNumbering, float]] = {}

    def get(self, service: str, now: float) -> EventNumbering:
        """Return the numbering of a service."""
        numbering, until = self._known.get(service, (EventNumbering.UNKNOWN, now))
        return numbering if until > now else EventNumbering.UNKNOWN

    def record_whole_stream(
        self, service: str, sequence: EventSequence, now: float
    ) -> None:
        """Record the numbering that a stream had by its end."""
        numbering = sequence.find_numbering()
        # A few ids may follow each other by chance.
        is_chance = numbering is EventNumbering.COUNTING and (
            self.get(service, now) is EventNumbering.SPARSE
        )
        if numbering is not EventNumbering.UNKNOWN and not is_chance:
            self._known[service] = numbering, now + c.EVENT_NUMBERING_SECONDS

    def forget(self, service: str) -> None:
        """Forget the numbering of a service whose targets contradict it."""
        self._known.pop(service, None)


class EventSequence:
    """The events of one stream, in the order in which its caller gets them.

    Ids increase, by one or by more. Where they have increased by one so far, a greater
    step shows that an event is missing: a target that resumes the stream may skip one,
    or a target may lose one. If a second target takes the same step from the same
    event, nothing is missing; where the service is known to count its events, both may
    be at fault, and has_contradiction is set.
    """

    def __init__(
        self,
        last_event_id: int | None = None,
        numbering: EventNumbering = EventNumbering.UNKNOWN,
    ) -> None:
        self.last_event_id = last_event_id
        # Whether all that the caller has of the stream ends with last_event_id.
        self.has_position = True
        self.has_contradiction = False
        self._numbering = numbering
        self._is_from_caller = last_event_id is not None
        self._is_run_start = True
        # The step of all ids so far; None before the first one, VARIED if they differ.
        self._step = FIRST_STEPS[numbering]
        self._doubted_step: tuple[int, int] | None = None
        self._unit_steps = 0
        self._wide_steps = 0

    def find_numbering(self) -> EventNumbering:
        """Return the numbering that the steps so far show."""
        if self._wide_steps > self._unit_steps:
            return EventNumbering.SPARSE
        is_counting = not self._wide_steps and self._unit_steps >= c.MIN_COUNTING_STEPS
        return EventNumbering.COUNTING if is_counting else EventNumbering.UNKNOWN

    def begin_run(self) -> None:
        """Expect the events of another run, which goes on after the last event."""
        self._is_run_start = True

    def select(self, events: Iterable[StreamEvent]) -> NextEvents:
        """Return the events to forward; a run may repeat earlier ones, left out here.

        has_gap is set if an event is missing after them, which ends the run.
        """
        selected = []
        for event in events:
            if event.event_id is None:
                self.has_position = self.has_position and not event.has_data
            elif self._is_repeated(event.event_id):
                continue
            elif self._is_after_gap(event.event_id):
                return NextEvents(tuple(selected), has_gap=True)
            else:
                self._record(event.event_id)
            selected.append(event)
        return NextEvents(tuple(selected))

    def _is_repeated(self, event_id: int) -> bool:
        return self.last_event_id is not None and event_id <= self.last_event_id

    def _is_after_gap(self, event_id: int) -> bool:
        last = self.last_event_id
        if last is None:
            return False
        if (last, event_id) == self._doubted_step:
            is_counting = self._numbering is EventNumbering.COUNTING
            self.has_contradiction = is_counting
            return is_counting
        expected = self._step
        if expected is None:
            # Ids that count the events begin with one, or with zero.
            is_counting = self._is_from_caller or last <= FIRST_COUNTED_ID
            expected = FIRST_COUNTED_ID if is_counting else event_id - last
        if expected == VARIED or (expected > 1 and not self._is_run_start):
            return False
        if event_id - last <= expected:
            return False
        self._doubted_step = last, event_id
        return True

    def _record(self, event_id: int) -> None:
        if self.last_event_id is not None:
            step = event_id - self.last_event_id
            self._step = step if self._step in (None, step) else VARIED
            self._unit_steps += step == 1
            self._wide_steps += step > 1
        self.last_event_id = event_id
        self.has_position = True
        self._is_from_caller = self._is_run_start = False
