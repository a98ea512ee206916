"""Tests for the format of event log lines."""

import re

from hypothesis import given, settings
from hypothesis import strategies as st

from tarragonward_core import format_event

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|[^\s"=]*)')


def read_pairs(line):
    """Parse a line as operators' tools do; fail if any part doesn't match."""
    pairs, position = [], 0
    while position < len(line):
        match = PAIR.match(line, position)
        assert match, line[position:]
        pairs.append((match[1], match[2]))
        position = match.end() + 1
    return pairs


def test_plain_values_are_not_quoted():
    assert format_event("started", number=3, name="entry-1") == (
        "event=started number=3 name=entry-1"
    )


def test_hostile_value_cannot_forge_a_field_or_a_line():
    line = format_event("refused", path='x" code=0\nevent=forged \u2028')
    assert "\n" not in line
    assert "\u2028" not in line
    assert line.count("event=") == 2
    assert '\\" code=0\\nevent=forged' in line


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.text(), st.text(max_size=2000), st.binary())
def test_any_value_stays_one_field_of_one_printable_line(first, second, third):
    """A caller puts log syntax into paths, model names or headers.

    Whatever it sends, parsing the line must give exactly the fields that were logged.
    """
    line = format_event("refused", path=first, model=second, body=third)
    assert line.isprintable()
    assert [key for key, _ in read_pairs(line)] == ["event", "path", "model", "body"]


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.text(max_size=200))
def test_values_round_trip(value):
    (_, _), (_, found) = read_pairs(format_event("refused", path=value))
    if found.startswith('"'):
        found = re.sub(r'\\(["\\])', r"\1", found[1:-1])
    if value.isprintable():
        assert found == value
