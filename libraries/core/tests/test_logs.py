"""Tests of the one-line event logs."""

from tarragonward_core import format_event


def test_plain_values_stay_plain():
    assert format_event("started", number=3, name="entry-1") == (
        "event=started number=3 name=entry-1"
    )


def test_hostile_value_cannot_forge_a_field_or_a_line():
    line = format_event("refused", path='x" code=0\nevent=forged \u2028')
    assert "\n" not in line
    assert "\u2028" not in line
    assert line.count("event=") == 2
    assert '\\" code=0\\nevent=forged' in line
