"""Cut a stream of server-sent events at the blank lines between them."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventStreamSplitter", "StreamEvent"]

# Lines may end in either way. Source: the HTML standard, section 9.2.5.
EVENT_BOUNDARY = re.compile(rb"\r?\n\r?\n")
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """One whole event with its blank line; number is its id, None where it has none."""

    data: bytes
    event_id: int | None


class EventStreamSplitter:
    """Hold back what has come of an event until the event is whole.

    A target may end within an event. Symptom of passing bytes on as they come: the
    caller reads half an event joined to the first event of the next target.
    """

    def __init__(self) -> None:
        self._partial = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether a part of an event is buffered."""
        return bool(self._partial)

    def split(self, data: bytes) -> list[StreamEvent]:
        """Take more bytes and return the events that they complete.

        Raise ValueError for an event without end.
        """
        buffered = self._partial + data
        events, start = [], 0
        for end in EVENT_BOUNDARY.finditer(buffered):
            event = buffered[start : end.end()]
            events.append(StreamEvent(event, _find_event_id(event)))
            start = end.end()
        self._partial = buffered[start:]
        if len(self._partial) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events


def _find_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
