"""Tests of what targets state about themselves in the heads of their answers."""

from tarragonward_gateway import statements
from tarragonward_standins import answer_with


async def test_header_that_no_code_reads_is_reported_once(make_site, monkeypatch):
    """A header that a platform adds must not be ignored without a trace."""
    logged = []
    monkeypatch.setattr(
        statements, "log_event", lambda event, **values: logged.append((event, values))
    )
    site = await make_site(answer_with(lines=["X-Wish: rest", "X-Target-Load: 1,0,8"]))
    for _ in range(3):
        assert (await site.async_ask()).status == 200
    assert site.state.metrics.get_count("target_headers_unread") == 3
    assert logged == [
        ("target_header_unread", {"header": "x-wish", "value": "rest", "target": "t0"})
    ]
