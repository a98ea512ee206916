"""Tests of the segments that prompts share."""

import pytest

from tarragonward_requests import (
    AnsweredSegments,
    RecentPrompts,
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


def test_segments_of_most_prompts_are_common():
    recent = RecentPrompts()
    common, rare = fingerprint_segments("llm", ["common", "rare"])
    recent.record((common, rare))
    assert not recent.is_common(common)
    for _ in range(c.MIN_RECENT_PROMPTS):
        recent.record((common,))
        recent.record(())
    assert recent.is_common(common)
    assert not recent.is_common(rare)
    assert not recent.is_common(fingerprint_segments("other", ["common"])[0])


def test_prompts_of_many_services_do_not_grow_the_memory():
    recent = RecentPrompts()
    for number in range(c.MAX_PROMPT_SCOPES + 2):
        for _ in range(c.MIN_RECENT_PROMPTS):
            recent.record(fingerprint_segments(f"service-{number}", ["a"]))
    assert not recent.is_common(fingerprint_segments("service-0", ["a"])[0])
    last = f"service-{c.MAX_PROMPT_SCOPES + 1}"
    assert recent.is_common(fingerprint_segments(last, ["a"])[0])
