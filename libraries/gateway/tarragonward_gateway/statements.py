"""Read what a target states about itself in the head of an answer."""

from __future__ import annotations

from dataclasses import fields

from tarragonward_core import Metrics, log_event
from tarragonward_membership import RegisteredTarget
from tarragonward_wire import RawHeaders

from . import const as c
from .ports import HeaderNames

__all__ = ["StatementReader"]


class StatementReader:
    """Reads the heads of targets' answers, and reports headers that no code reads.

    A platform may add a header by which targets ask something of the hosts. A host that
    does not know it would ignore the request without a trace in logs or metrics.
    """

    def __init__(self, names: HeaderNames, metrics: Metrics) -> None:
        self._known = {getattr(names, field.name) for field in fields(names)}
        self._known.update(c.STANDARD_ANSWER_HEADERS)
        self._metrics = metrics
        self._reported: set[str] = set()

    def report_unread(self, target: RegisteredTarget, headers: RawHeaders) -> None:
        """Count the headers that no code reads, and log each name once."""
        for raw_name, value in headers:
            name = raw_name.decode("latin-1").lower()
            if name in self._known:
                continue
            self._metrics.count("target_headers_unread")
            if name in self._reported:
                continue
            if len(self._reported) < c.MAX_REPORTED_HEADERS:
                self._reported.add(name)
                log_event(
                    "target_header_unread",
                    header=name,
                    value=value.decode("latin-1")[: c.MAX_LOGGED_HEADER_CHARACTERS],
                    target=target.id,
                )
