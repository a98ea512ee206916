"""Tests of the segments that prompts share."""

import pytest

from tarragonward_requests import (
    AnsweredSegments,
    fingerprint_segments,
    parse_segments,
)
from tarragonward_requests import const as c


@pytest.mark.parametrize(
    ("text", "ids"),
    [
        ("5c1e:800,91bd:410,e440:250", ("5c1e", "91bd")),
        ("5c1e:800", ()),
        ("", ()),
        ("a:1, b:2 ,own:3", ("a", "b")),
        ("a:1,a:2,own:3", ("a",)),
        (":7,,a,own:3", ("a",)),
    ],
)
def test_shared_segments_are_all_but_the_last(text, ids):
    assert parse_segments(text) == ids


def test_segments_of_services_are_told_apart():
    """A segment that crashes one model's engines must not be refused at another's."""
    [here] = fingerprint_segments("llm", ["a"])
    assert fingerprint_segments("llm", ["b", "a"])[1] == here
    assert fingerprint_segments("other", ["a"]) != (here,)


def test_a_flood_of_new_segments_does_not_grow_the_memory():
    known = AnsweredSegments()
    for number in range(c.MAX_ANSWERED_SEGMENTS + 5):
        known.record([number.to_bytes(8, "big"), b"popular!"], float(number))
    assert known.get(bytes(8)) is None
    assert known.get(b"popular!") == c.MAX_ANSWERED_SEGMENTS + 4
