"""Parse log lines of hosts, and order them over all hosts."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

__all__ = ["LogLine", "order_lines", "parse_line"]

# A log collector may prepend its own prefix.
LINE = re.compile(r"(?:^|\s)(at=[0-9.]+ up=.*)$")
PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
ESCAPED = re.compile(r'\\(["\\])')
EVENT_STARTED = "host_started"
STANDARD_FIELDS = ("at", "up", "host", "event")


@dataclass(frozen=True)
class LogLine:
    """A host's log event; at is wall-clock time, up is seconds since the start."""

    at: float
    up: float
    host: str
    event: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """Return the id of the request concerned, or an empty string."""
        return self.fields.get("request_id", "")


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not an event."""
    found = LINE.search(text.rstrip("\n"))
    if found is None:
        return None
    pairs = {key: _unquote(value) for key, value in PAIR.findall(found[1])}
    try:
        at, up, event = float(pairs["at"]), float(pairs["up"]), pairs["event"]
    except (KeyError, ValueError):
        return None
    fields = {key: pairs[key] for key in pairs if key not in STANDARD_FIELDS}
    return LogLine(at, up, pairs.get("host", ""), event, fields)


def order_lines(lines: Iterable[LogLine]) -> list[tuple[float, LogLine]]:
    """Sort lines by time over all hosts; return them with their time.

    A host's wall clock may jump, and a request's lines are written only at its end. A
    line's time is therefore its uptime plus the start time of that incarnation of the
    host, which is the median of (at - up) over the incarnation's lines.
    """
    incarnations: Counter[str] = Counter()
    numbered = []
    for line in lines:
        incarnations[line.host] += line.event == EVENT_STARTED
        numbered.append(((line.host, incarnations[line.host]), line))
    offsets: dict[tuple[str, int], list[float]] = {}
    for incarnation, line in numbered:
        offsets.setdefault(incarnation, []).append(line.at - line.up)
    start_times = {incarnation: median(found) for incarnation, found in offsets.items()}
    timed = [
        (start_times[incarnation] + line.up, line) for incarnation, line in numbered
    ]
    return sorted(timed, key=lambda pair: pair[0])


def _unquote(value: str) -> str:
    return ESCAPED.sub(r"\1", value[1:-1]) if value.startswith('"') else value
