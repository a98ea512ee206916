"""Command that reconstructs the course of a request from the hosts' logs."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from cleo.helpers import argument

from tarragonward_core import ResultCode

from .command import JSON_OPTION, ToolCommand
from .const import EXIT_FAILED, EXIT_OK
from .log_lines import LogLine, order_lines, parse_line

__all__ = ["ExplainCommand", "Explanation", "explain"]

EVENT_END_DECIDED = "end_decided"
EVENT_ENDED = "request_ended"
EVENT_DROPPED = "log_lines_dropped"
TARGET_EVENTS = ("target_registered", "target_withdrawn")
# Events that set a state which holds until the next event of the same group. A host
# that drains or has lost its source logs it once; requests it refuses come later.
STATE_GROUPS = {
    "host_started": "life",
    "drain_started": "life",
    "source_lost": "source",
    "source_regained": "source",
    "table_in_force": "table",
}
# How long before a request the events of its hosts are shown.
CONTEXT_SECONDS = 3.0
MAX_MEANWHILE_LINES = 20
MEANINGS = {
    "answered": "the caller got a target's answer",
    "broken off": "the answer was cut visibly, after its last_event",
    "caller left": "the caller closed its connection before the end",
    "failed here": "a fault of the program, or the caller's connection broke",
}

TimedLine = tuple[float, LogLine]


@dataclass(frozen=True)
class Explanation:
    """A request's log lines and the related events of its hosts.

    standing: states set before the request that still held; meanwhile: events around
    it; targets: events of the targets it used.
    """

    trail: tuple[TimedLine, ...]
    standing: tuple[TimedLine, ...]
    meanwhile: tuple[TimedLine, ...]
    targets: tuple[TimedLine, ...]
    lines_dropped: int

    @property
    def end(self) -> LogLine | None:
        """Return the line of the event that ended the request."""
        for event in (EVENT_END_DECIDED, EVENT_ENDED):
            found = [line for _, line in self.trail if line.event == event]
            if found:
                return found[-1]
        return None

    @property
    def outcome(self) -> str:
        """Return the outcome for the caller, as logged."""
        ended = [line for _, line in self.trail if line.event == EVENT_ENDED]
        line = ended[-1] if ended else self.end
        return line.fields.get("outcome", "") if line else ""


def explain(request_id: str, lines: list[LogLine]) -> Explanation:
    """Collect what the logs of all hosts contain about a request."""
    ordered = order_lines(lines)
    trail = tuple(pair for pair in ordered if pair[1].request_id == request_id)
    hosts = {line.host for _, line in trail}
    targets = {line.fields["target"] for _, line in trail if "target" in line.fields}
    begin = trail[0][0] - CONTEXT_SECONDS if trail else 0.0
    end = trail[-1][0] if trail else float("inf")
    others = [
        (at, line)
        for at, line in ordered
        if line.host in hosts and not line.request_id and at <= end
    ]
    near = [pair for pair in others if pair[0] >= begin]
    return Explanation(
        trail=trail,
        standing=_find_standing(others, begin),
        meanwhile=tuple(p for p in near if p[1].event not in TARGET_EVENTS),
        targets=tuple(p for p in others if p[1].fields.get("target") in targets),
        lines_dropped=sum(
            int(line.fields.get("lines", 0))
            for _, line in (near if trail else ordered)
            if line.event == EVENT_DROPPED
        ),
    )


def _find_standing(others: list[TimedLine], begin: float) -> tuple[TimedLine, ...]:
    """Return, by host, the states set before `begin` that still held then."""
    last: dict[tuple[str, str], TimedLine] = {}
    for at, line in others:
        group = STATE_GROUPS.get(line.event)
        if group is not None and at < begin:
            last[line.host, group] = (at, line)
    return tuple(sorted(last.values(), key=lambda pair: pair[0]))


class ExplainCommand(ToolCommand):
    """Show a request's log lines of all hosts, and the event that ended it."""

    name = "explain"
    description = "Shows from the hosts' logs what became of a request."
    arguments = [
        argument("id", "The request's id, as its caller got it."),
        argument("file", "Logs of the hosts, one or several.", multiple=True),
    ]
    options = [JSON_OPTION]

    async def async_run(self) -> int:
        """Print the explanation; return the exit code."""
        request_id = self.argument("id")
        lines = [
            line
            for path in self.argument("file")
            for text in self.read_file("file", path)
            .decode("utf-8", "replace")
            .split("\n")
            if (line := parse_line(text)) is not None
        ]
        found = explain(request_id, lines)
        if self.option("json"):
            self.print_json(_build_json(found))
        else:
            self.write_text("\n".join(_describe(request_id, found)) + "\n")
        return EXIT_OK if found.trail else EXIT_FAILED


def _describe(request_id: str, found: Explanation) -> Iterator[str]:
    if not found.trail:
        yield f"{request_id}: no line. It went well after one send (then it is only"
        yield "counted), or never came to these hosts, or a host died with it in"
        dropped = found.lines_dropped
        yield f"progress, or the budget dropped it ({dropped} lines dropped)."
        return
    began = found.trail[0][0]
    yield f"request {request_id}"
    yield from (_format(at - began, line) for at, line in found.trail)
    if found.standing:
        yield "what held on its hosts before"
        yield from (_format(at - began, line) for at, line in found.standing)
    if found.targets:
        yield "its targets, as its hosts had heard"
        yield from (_format(at - began, line) for at, line in found.targets)
    if found.meanwhile:
        yield "meanwhile on its hosts"
        shown = found.meanwhile[-MAX_MEANWHILE_LINES:]
        yield from (_format(at - began, line) for at, line in shown)
    yield _describe_end(found)


def _describe_end(found: Explanation) -> str:
    line = found.end
    if line is None:
        return "no end: the host ended first, or the lines are not all here"
    reason = line.fields.get("reason", "decided before any send")
    if found.outcome == "caller left":
        reason = "nothing here ended it"
    meaning = MEANINGS.get(found.outcome) or _describe_code(found.outcome)
    return f"ended by {line.host}: {found.outcome} ({reason}): {meaning}"


def _describe_code(name: str) -> str:
    code = ResultCode.__members__.get(name)
    return f"{code.conclusion.value}; {code.text}" if code else "no such outcome"


def _format(seconds: float, line: LogLine) -> str:
    fields = " ".join(
        f"{key}={value}" for key, value in line.fields.items() if key != "request_id"
    )
    return f"  {seconds:+9.3f} s  {line.host}  {line.event}  {fields}".rstrip()


def _build_json(found: Explanation) -> dict[str, object]:
    def show(pairs: tuple[TimedLine, ...]) -> list[dict[str, object]]:
        return [
            {"at": at, "host": line.host, "event": line.event, **line.fields}
            for at, line in pairs
        ]

    return {
        "outcome": found.outcome,
        "ended_by": found.end.host if found.end else None,
        "trail": show(found.trail),
        "standing": show(found.standing),
        "targets": show(found.targets),
        "meanwhile": show(found.meanwhile),
        "lines_dropped": found.lines_dropped,
    }
