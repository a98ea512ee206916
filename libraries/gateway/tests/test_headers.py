"""Tests of which headers go on to a target."""

import pytest

from tarragonward_gateway.headers import parse_rate
from tarragonward_standins import answer_with


async def test_what_frames_a_request_is_never_dropped_as_its_connections_own(make_site):
    """A caller lists host and length as headers of its connection alone.

    Dropped, the target would run another request than the caller's: of no host, and
    without its body.
    """
    site = await make_site(answer_with())
    lines = ["Connection: Host, Content-Length", "Content-Length: 4"]
    answer = await site.async_ask("POST", lines=lines, body=b"abcd")
    assert answer.status == 200
    (seen,) = site.targets[0].seen
    assert seen.get("host") == ["app.example"]
    assert seen.body == b"abcd"


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("1", 1.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("", None),
        (None, None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e99", None),
        ("one", None),
        ("\u0661", None),
    ],
)
def test_a_rate_is_read_or_there_is_none(text, rate):
    assert parse_rate(text) == rate
