"""Tests of the published routing tables."""

from tarragonward_gateway import const as c
from tarragonward_gateway.published_tables import log_ignored_marks
from tarragonward_routes import RequestKind, Route, RoutingTable, Share


def build_routes(count, kind):
    shares = (Share("s", 1),)
    return [
        Route(f"r{n}", "h", f"/{n}/", kind, shares, is_resumable=True)
        for n in range(count)
    ]


def test_ignored_marks_are_logged_for_a_few_routes_of_a_table(lines):
    """A table of thousands of contradictory routes must not flood the log."""
    streams = build_routes(3, RequestKind.STREAM)
    routes = [*streams, *build_routes(50, RequestKind.NON_IDEMPOTENT)]
    assert log_ignored_marks(RoutingTable(7, tuple(routes))) == 50
    logged = [line for line in lines if b"event=route_marks_ignored" in line]
    assert len(logged) == c.MAX_LOGGED_ROUTES
    assert b"route=r0 kind=non_idempotent marks=resumable routes=50" in logged[0]
