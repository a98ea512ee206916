"""Parse the published routing tables, each only once."""

from __future__ import annotations

from collections import OrderedDict

from tarragonward_core import log_event
from tarragonward_routes import RoutingTable

from . import const as c
from .ports import Record, RecordParser

__all__ = ["PublishedTables", "log_ignored_marks"]


class PublishedTables:
    """Routing tables by key and bytes; a large one takes long to parse.

    The source may hold a copy of the table under a key that means nothing here, so the
    bytes alone don't identify what was parsed.
    """

    def __init__(self, parser: RecordParser) -> None:
        self._parser = parser
        self._tables: OrderedDict[tuple[str, bytes], RoutingTable | None] = (
            OrderedDict()
        )

    def parse(self, record: Record) -> RoutingTable | None:
        """Return the table of a record, None if it has none that is valid."""
        if not self._parser.is_table(record.key):
            return None
        tables, key = self._tables, (record.key, record.value or b"")
        if key not in tables:
            tables[key] = self._parser.parse_table(record)
        tables.move_to_end(key)
        while len(tables) > c.MAX_PARSED_TABLES:
            tables.popitem(last=False)
        return tables[key]

    def get_version(self, record: Record) -> int | None:
        """Return the version of a record of the table, None for other records."""
        if record.value is None:
            return None
        table = self.parse(record)
        return table.version if table is not None else None

    def is_relevant(self, key: str) -> bool:
        """Return whether a host uses what is published under a key."""
        parser = self._parser
        return (
            parser.is_table(key)
            or parser.get_target_name(key) is not None
            or parser.get_evacuated_domain(key) is not None
        )


def log_ignored_marks(table: RoutingTable) -> int:
    """Log the first routes whose marks contradict their kind; return how many do."""
    routes = [route for route in table.routes if route.ignored_marks]
    for route in routes[: c.MAX_LOGGED_ROUTES]:
        log_event(
            "route_marks_ignored",
            version=table.version,
            route=route.name,
            kind=route.kind.value,
            marks=",".join(route.ignored_marks),
            routes=len(routes),
        )
    return len(routes)
