"""Tests of the headers that are forwarded to targets."""

from dataclasses import replace

import pytest

from tarragonward_gateway.headers import parse_rate
from tarragonward_routes import Account
from tarragonward_standins import answer_with


async def test_host_and_length_are_forwarded_if_listed_as_connection_options(make_site):
    """A caller lists host and content length in its Connection header.

    Without them the target would run a different request: for no host, without a body.
    """
    site = await make_site(answer_with())
    lines = ["Connection: Host, Content-Length", "Content-Length: 4"]
    answer = await site.async_ask("POST", lines=lines, body=b"abcd")
    assert answer.status == 200
    (seen,) = site.targets[0].requests
    assert seen.get("host") == ["app.example"]
    assert seen.body == b"abcd"


@pytest.mark.parametrize(
    ("name", "encoding"),
    [("town", "ascii"), ("Cámara", "latin-1"), ("Țiriac", "utf-8")],
)
async def test_account_of_any_name_is_served(make_site, name, encoding):
    """A name that is not Latin-1 must not end each request of its account in 500."""
    site = await make_site(answer_with())
    table = replace(site.state.table, accounts_by_key={"k1": Account(name)})
    site.state.table = table
    assert (await site.async_ask()).status == 200
    (seen,) = site.targets[0].requests
    (value,) = seen.get("x-client-account")
    assert value.encode("latin-1").decode(encoding) == name


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
def test_parse_rate(text, rate):
    assert parse_rate(text) == rate
