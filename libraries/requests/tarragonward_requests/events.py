"""Cut a stream of server-sent events at the blank lines between them."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventCutter", "StreamEvent"]

# Lines may end in either way. Source: the HTML standard, section 9.2.5.
EVENT_END = re.compile(rb"\r?\n\r?\n")
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024


@dataclass(frozen=True)
class StreamEvent:
    """One whole event with its blank line; number is its id, None where it has none."""

    data: bytes
    number: int | None


class EventCutter:
    """Hold back what has come of an event until the event is whole.

    A target may end within an event. Symptom of passing bytes on as they come: the
    caller reads half an event joined to the first event of the next target.
    """

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Return whether a part of an event is held back."""
        return bool(self._rest)

    def cut(self, data: bytes) -> list[StreamEvent]:
        """Take more bytes and return the events that they complete.

        Raise ValueError for an event without end.
        """
        held = self._rest + data
        events, start = [], 0
        for end in EVENT_END.finditer(held):
            event = held[start : end.end()]
            events.append(StreamEvent(event, _find_number(event)))
            start = end.end()
        self._rest = held[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("an event is too large")
        return events


def _find_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
