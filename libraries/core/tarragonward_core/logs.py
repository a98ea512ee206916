"""Write one line of key=value pairs for each event, within a budget, never waiting."""

from __future__ import annotations

import os
import stat
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from absl import logging

from .line_budget import LineBudget

__all__ = [
    "DescriptorWriter",
    "EventLog",
    "Happening",
    "event_log",
    "format_event",
    "log_event",
    "setup_logging",
]

MAX_VALUE_CHARACTERS = 512
STANDARD_ERROR = 2


@dataclass(frozen=True)
class Happening:
    """An event and when it was, by the steady clock, in seconds."""

    at: float
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


def format_event(event: str, **fields: Any) -> str:
    """Return the line of an event: `event=name key=value ...`.

    A value that could break the line is quoted: hostile input must not be able to
    forge another event or another field.
    """
    pairs = [f"event={_format_value(event)}"]
    pairs += [f"{key}={_format_value(value)}" for key, value in fields.items()]
    return " ".join(pairs)


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        text = text[:MAX_VALUE_CHARACTERS] + "..."
    if text and all(_is_plain(character) for character in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    quoted = "".join(
        character if character.isprintable() else _escape(character)
        for character in escaped
    )
    return f'"{quoted}"'


def _is_plain(character: str) -> bool:
    return character.isascii() and (character.isalnum() or character in "._-:/+")


def _escape(character: str) -> str:
    return character.encode("unicode_escape", "backslashreplace").decode("ascii")


class DescriptorWriter:
    """Write whole lines to a descriptor, and never wait for who reads it.

    A reader that stops fills its pipe, and the next write waits. Symptom: the host
    answers nobody until someone reads its log. A pipe or socket is set not to wait;
    what it does not take is reported as dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._rest = b""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def __call__(self, data: bytes) -> bool:
        """Return whether the lines were taken; a line begun is ended first."""
        try:
            if self._rest:
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
                if self._rest:
                    return False
            written = os.write(self._descriptor, data)
        except OSError:
            return False
        self._rest = data[written:]
        return True


def _write_to_standard_error(data: bytes) -> bool:
    sys.stderr.write(data.decode("utf-8"))
    return True


class EventLog:
    """The lines of one process: wall clock, seconds since its start, host, event.

    The wall clock may jump; the seconds since the start never do, so a reader can
    order the lines of a host by them.
    """

    def __init__(
        self,
        write: Callable[[bytes], bool],
        budget: LineBudget | None = None,
        host: str = "",
        *,
        read_wall: Callable[[], float] = time.time,
        read_steady: Callable[[], float] = time.monotonic,
    ) -> None:
        self.write = write
        self.budget = budget
        self.host = host
        self._read_wall = read_wall
        self._read_steady = read_steady
        self._started_at = read_steady()

    @property
    def dropped(self) -> int:
        """Return how many lines were not written in this process."""
        return self.budget.dropped if self.budget is not None else 0

    def log(self, happenings: Sequence[Happening], is_urgent: bool = False) -> bool:
        """Write happenings as lines, all of them or none; return whether it was."""
        now = self._read_steady()
        self.say_dropped(now)
        count = len(happenings)
        if self.budget and not self.budget.admit(now, count, is_urgent):
            return False
        self._write(happenings, now)
        return True

    def say_dropped(self, now: float | None = None) -> None:
        """Say how many lines were dropped, once a second at most."""
        if self.budget is None:
            return
        now = self._read_steady() if now is None else now
        dropped = self.budget.take_unsaid(now)
        if dropped:
            said = Happening(now, "log_lines_dropped", {"lines": dropped})
            self._write([said], now)

    def _write(self, happenings: Sequence[Happening], now: float) -> None:
        offset = self._read_wall() - now
        lines = (self._format(happening, offset) for happening in happenings)
        if not self.write("".join(lines).encode("utf-8", "replace")) and self.budget:
            self.budget.note_dropped(len(happenings))

    def _format(self, happening: Happening, offset: float) -> str:
        host = f" host={self.host}" if self.host else ""
        up = happening.at - self._started_at
        line = format_event(happening.event, **happening.fields)
        return f"at={happening.at + offset:.3f} up={up:.3f}{host} {line}\n"


event_log = EventLog(_write_to_standard_error)


def log_event(event: str, *, level: int = logging.INFO, **fields: Any) -> None:
    """Log one event with its fields; a field of value None is left out."""
    if level > logging.get_verbosity():
        return
    present = {key: value for key, value in fields.items() if value is not None}
    if level <= logging.ERROR:
        present["is_error"] = True
    happening = Happening(time.monotonic(), event, present)
    event_log.log([happening], is_urgent=level <= logging.ERROR)


def setup_logging(
    verbosity: int = logging.INFO, budget: LineBudget | None = None, host: str = ""
) -> None:
    """Send logs to standard error from the level verbosity on, within a budget."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(verbosity)
    event_log.budget = budget
    event_log.host = host
    event_log.write = DescriptorWriter(STANDARD_ERROR)
