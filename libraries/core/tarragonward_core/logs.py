"""Write a line of key=value pairs for each event, rate-limited and non-blocking."""

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
    "LogEvent",
    "event_log",
    "format_event",
    "log_event",
    "setup_logging",
]

MAX_VALUE_CHARACTERS = 512
STANDARD_ERROR = 2


@dataclass(frozen=True)
class LogEvent:
    """An event and its time, in seconds of the monotonic clock."""

    at: float
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


def format_event(event: str, **fields: Any) -> str:
    """Return the line of an event: `event=name key=value ...`.

    Values with special characters are quoted and escaped, so that hostile input can't
    forge another event or field.
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
    """Write whole lines to a file descriptor without blocking on its reader.

    When the reader of a log pipe stops, the pipe fills up; a blocking write would then
    stop the event loop until the log is read. Pipes and sockets are set to
    non-blocking mode, and lines that don't fit are reported as dropped.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._pending = b""
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def __call__(self, data: bytes) -> bool:
        """Return whether the lines were taken; the rest of earlier data goes first."""
        try:
            if self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
                if self._pending:
                    return False
            written = os.write(self._descriptor, data)
        except OSError:
            return False
        self._pending = data[written:]
        return True


def _write_to_standard_error(data: bytes) -> bool:
    sys.stderr.write(data.decode("utf-8"))
    return True


class EventLog:
    """The event log of a process: each line has wall clock, uptime, host and event.

    The wall clock may jump; the uptime never does, so the lines of a host can be
    ordered by it.
    """

    def __init__(
        self,
        write: Callable[[bytes], bool],
        budget: LineBudget | None = None,
        host: str = "",
        *,
        read_wall_clock: Callable[[], float] = time.time,
        read_monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.write = write
        self.budget = budget
        self.host = host
        self._read_wall_clock = read_wall_clock
        self._read_monotonic_clock = read_monotonic_clock
        self._started_at = read_monotonic_clock()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped in this process."""
        return self.budget.dropped if self.budget is not None else 0

    def log(self, records: Sequence[LogEvent], is_urgent: bool = False) -> bool:
        """Write all records or none; return whether they were within the budget."""
        now = self._read_monotonic_clock()
        self.report_dropped(now)
        count = len(records)
        if self.budget and not self.budget.admit(now, count, is_urgent):
            return False
        self._write(records, now)
        return True

    def report_dropped(self, now: float | None = None) -> None:
        """Log the number of dropped lines, at most once per report interval."""
        if self.budget is None:
            return
        now = self._read_monotonic_clock() if now is None else now
        dropped = self.budget.take_unreported(now)
        if dropped:
            report = LogEvent(now, "log_lines_dropped", {"lines": dropped})
            self._write([report], now)

    def _write(self, records: Sequence[LogEvent], now: float) -> None:
        offset = self._read_wall_clock() - now
        lines = (self._format(record, offset) for record in records)
        if not self.write("".join(lines).encode("utf-8", "replace")) and self.budget:
            self.budget.record_dropped(len(records))

    def _format(self, record: LogEvent, offset: float) -> str:
        host = f" host={self.host}" if self.host else ""
        up = record.at - self._started_at
        line = format_event(record.event, **record.fields)
        return f"at={record.at + offset:.3f} up={up:.3f}{host} {line}\n"


event_log = EventLog(_write_to_standard_error)


def log_event(event: str, *, level: int = logging.INFO, **fields: Any) -> None:
    """Log an event with its fields; fields with the value None are left out."""
    if level > logging.get_verbosity():
        return
    present = {key: value for key, value in fields.items() if value is not None}
    if level <= logging.ERROR:
        present["is_error"] = True
    record = LogEvent(time.monotonic(), event, present)
    event_log.log([record], is_urgent=level <= logging.ERROR)


def setup_logging(
    verbosity: int = logging.INFO, budget: LineBudget | None = None, host: str = ""
) -> None:
    """Write logs of at least this verbosity to standard error, within a budget."""
    logging.use_absl_handler()
    logging.get_absl_handler().python_handler.stream = sys.stderr
    logging.set_verbosity(verbosity)
    event_log.budget = budget
    event_log.host = host
    event_log.write = DescriptorWriter(STANDARD_ERROR)
