"""Tests of variants, paired comparison and varied sites."""

import math
import tomllib
from pathlib import Path

import pytest

from tarragonward_bench.days.pairs import compute_change, format_table, get_worth
from tarragonward_bench.days.plays import PlayedDay, read_plays, write_play
from tarragonward_bench.days.site_variation import vary_site
from tarragonward_bench.days.variants import load_variants
from tarragonward_bench.proofs.edits import Edit, EditError

ROOT = Path(__file__).resolve().parents[3]


def build(variant, worth, seed=1, day="quiet"):
    return PlayedDay(
        variant, "c", "site", day, seed, False, worth, 0.9, {}, {}, {}, (), "entry"
    )


def test_every_ablation_edit_applies_to_the_code():
    """An edit that no longer applies would leave the mechanism enabled."""
    variants = load_variants(ROOT / "docs" / "ablations.toml")
    assert len(variants) > 10
    for variant in variants:
        for edit in variant.edits:
            source = (ROOT / edit.file).read_text("utf-8")
            assert edit.apply(source) != source


@pytest.mark.parametrize("source", ["a = 2\n", "a = 1\na = 1\n", "    a = 1\n"])
def test_edit_fails_unless_its_lines_occur_exactly_once(source):
    with pytest.raises(EditError):
        Edit("file", "a = 1", "a = 3").apply(source)


def test_edit_that_leaves_invalid_syntax_fails():
    with pytest.raises(EditError):
        Edit("file", "a = 1", "a =").apply("a = 1\n")


def test_change_is_computed_over_pairs_of_day_and_seed():
    """Days vary more than the effect: only plays of the same day and seed compare."""
    before = [build("main", 0.9, seed=1), build("main", 0.5, seed=2)]
    after = [build("new", 0.92, seed=1), build("new", 0.54, seed=2)]
    alone = build("new", 0.1, seed=3)
    change = compute_change(before, [*after, alone], get_worth)
    assert change.pairs == 2
    assert change.mean == pytest.approx(0.03)
    assert change.error == pytest.approx(0.01)
    assert math.isnan(compute_change(before, after[:1], get_worth).error)
    assert "not run" in str(compute_change(before, [alone], get_worth))
    table = format_table([*before, *after], "main", get_worth)
    assert "| new | +0.030 ± 0.010 (2) | 0 |" in table


def test_plays_round_trip_through_the_file(tmp_path):
    played = build("main", 0.9)
    write_play(tmp_path / "plays", played)
    assert read_plays(tmp_path / "plays") == [played]


SITE = """
services = [
  { name = "e", model = "llm", servers = [{ zone = "a", count = 6 }], kv_tokens = 90 },
  { name = "app", servers = [{ zone = "a", count = 1 }] },
]
traffic = [{ zone = "a", per_s = 17.8 }]
"""


def test_varied_site_is_determined_by_its_seed():
    """Varied sites reveal constants that are overfitted to the known sites."""
    one, other = (tomllib.loads(vary_site(SITE, seed)) for seed in (1, 2))
    assert vary_site(SITE, 1) == vary_site(SITE, 1)
    assert one["traffic"] != other["traffic"]
    assert one["services"][0]["kv_tokens"] != 90
    assert one["services"][1] == {"name": "app", "servers": [{"zone": "a", "count": 1}]}
