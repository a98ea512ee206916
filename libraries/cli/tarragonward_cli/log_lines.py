"""Read the lines of hosts' logs, and put them in order over all hosts."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

__all__ = ["LogLine", "order_lines", "parse_line"]

# A collector may put a prefix of its own before a line.
LINE = re.compile(r"(?:^|\s)(at=[0-9.]+ up=.*)$")
PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
ESCAPED = re.compile(r'\\(["\\])')
EVENT_STARTED = "host_started"
OWN_FIELDS = ("at", "up", "host", "event")


@dataclass(frozen=True)
class LogLine:
    """One event of a host; at is its wall clock, up its seconds since its start."""

    at: float
    up: float
    host: str
    event: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """Return the id of the request that the line is about, or nothing."""
        return self.fields.get("request_id", "")


def parse_line(text: str) -> LogLine | None:
    """Return the event that a line holds; None for a line of anything else."""
    found = LINE.search(text.rstrip("\n"))
    if found is None:
        return None
    pairs = {key: _unquote(value) for key, value in PAIR.findall(found[1])}
    try:
        at, up, event = float(pairs["at"]), float(pairs["up"]), pairs["event"]
    except (KeyError, ValueError):
        return None
    fields = {key: pairs[key] for key in pairs if key not in OWN_FIELDS}
    return LogLine(at, up, pairs.get("host", ""), event, fields)


def order_lines(lines: Iterable[LogLine]) -> list[tuple[float, LogLine]]:
    """Return lines in order of time over all hosts, each with its time.

    A host's time of day may jump and jump back, and a request's lines are written at
    its end. So a line's place is its seconds since the start plus when that start
    was: the middle of what the lines of that life of the host say.
    """
    boots: Counter[str] = Counter()
    numbered = []
    for line in lines:
        boots[line.host] += line.event == EVENT_STARTED
        numbered.append(((line.host, boots[line.host]), line))
    offsets: dict[tuple[str, int], list[float]] = {}
    for life, line in numbered:
        offsets.setdefault(life, []).append(line.at - line.up)
    starts = {life: median(found) for life, found in offsets.items()}
    timed = [(starts[life] + line.up, line) for life, line in numbered]
    return sorted(timed, key=lambda pair: pair[0])


def _unquote(value: str) -> str:
    return ESCAPED.sub(r"\1", value[1:-1]) if value.startswith('"') else value
