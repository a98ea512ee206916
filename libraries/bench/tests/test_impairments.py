"""Tests of the generated impairment days and their result table."""

import json
import tomllib
from pathlib import Path

import pytest

from tarragonward_bench.impairments import days, plays

COMMITTED = Path(__file__).parents[3] / "deploy" / "days"


@pytest.fixture(scope="module")
def written(tmp_path_factory):
    folder = tmp_path_factory.mktemp("days")
    days.write_days(folder)
    return folder


def test_committed_days_match_the_generated_ones(written):
    for path in written.rglob("*.toml"):
        committed = COMMITTED / path.relative_to(written)
        assert committed.read_text("utf-8") == path.read_text("utf-8"), path.name


def test_pair_repeats_the_others_before_during_and_after_the_first(written):
    text = (written / "pairs" / "compact-scale_in.toml").read_text("utf-8")
    [day] = tomllib.loads(text)["day"]
    [first] = day["faults"]
    began, ended = first["at"], first["at"] + first["for_s"]
    before, within, after = (entry["at"] for entry in day["plan"])
    assert before < began < within < ended < after < ended + 1.0


def test_doubled_share_is_capped_at_one():
    assert days.double("herd_kill", {"share": 0.55})["share"] == 1.0
    assert days.double("garble", {"x": 0.6, "share": 0.1})["x"] == 1.0
    assert days.double("burst", {"x": 1.7})["x"] == 3.4


def test_placeholder_for_the_longest_class_is_filled_in_for_a_site(written, tmp_path):
    site = tmp_path / "site.toml"
    site.write_text('classes = [{name = "a", worth = 1}, {name = "b", worth = 9}]')
    day = written / "pairs" / "lossy-hot_key.toml"
    filled = plays.prepare_day(day, site, tmp_path / "filled.toml")
    [entry] = tomllib.loads(filled.read_text("utf-8"))["day"]
    classes = {fault["class"] for fault in entry["faults"] if "class" in fault}
    assert classes == {"b"}


def test_broken_rules_are_read_from_the_journal_entry_of_the_play(tmp_path):
    """The journal may receive entries of other plays while a day is played."""
    own, other = tmp_path / "1.json", tmp_path / "2.json"
    own.write_text(json.dumps({"why": "own", "days": [{"rules": {"CONFIG": 1}}]}))
    other.write_text(json.dumps({"why": "other", "days": [{"rules": {}}]}))
    assert plays.read_broken_rules({own, other}, "own") == ("CONFIG",)
    assert plays.read_broken_rules({other}, "own") == (plays.NO_RESULT,)


def test_table_shows_broken_rules_and_missing_plays():
    table = plays.format_table(
        [
            plays.Play("one", "pairs/x", 0.5, ("LEAK",)),
            plays.Play("two", "pairs/y", None, ()),
        ]
    )
    assert table.splitlines()[2:] == [
        "| x | 0.500 **LEAK** | not run |",
        "| y | not run | no figure |",
    ]
