"""Split a stream of server-sent events into whole events."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventStreamSplitter", "NextEvents", "StreamEvent"]

# A blank line ends an event; lines end with LF or CRLF (HTML standard, 9.2.5).
EVENT_BOUNDARY = re.compile(rb"\r?\n\r?\n")
ID_FIELD = b"id:"
DATA_FIELD = re.compile(rb"^data(:|\r?$)", re.MULTILINE)
MAX_ID_DIGITS = 18
MAX_BOUNDARY_BYTES = 4
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """A whole event with its blank line; event_id is None without a numeric id.

    has_data: it is no mere comment, so a caller must not get it twice.
    """

    data: bytes
    event_id: int | None
    has_data: bool = True


@dataclass(frozen=True)
class NextEvents:
    """The events to forward next; has_gap: whether an event after them is missing."""

    events: tuple[StreamEvent, ...]
    has_gap: bool = False


class EventStreamSplitter:
    """Buffers an incomplete event until the rest of it has arrived.

    A target may fail in the middle of an event. If bytes were forwarded as they arrive,
    the caller would read half an event joined to the first event of the next target.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._partial)

    def split(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raise ValueError if an event exceeds the size limit.
        """
        # What was searched before is not searched again: an event that comes in many
        # small pieces would take ever longer.
        search_from = max(0, len(self._partial) - MAX_BOUNDARY_BYTES)
        buffered = self._partial + data
        events, start = [], 0
        for end in EVENT_BOUNDARY.finditer(buffered, search_from):
            event = buffered[start : end.end()]
            has_data = DATA_FIELD.search(event) is not None
            events.append(StreamEvent(event, _find_event_id(event), has_data))
            start = end.end()
        self._partial = buffered[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError("event is too large: no end within the size limit")
        return events


def _find_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_number else None
    return None
