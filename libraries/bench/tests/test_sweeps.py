"""Tests of the tables of sweeps in journal entries."""

import json

import pytest

from tarragonward_bench.days.sweeps import format_sweep, main, read_sweep

DIGEST = """seen: 28 orders
day                  own/srv  score  worth served refused failed  weakest part
sweep-30              33/302   0.90  0.896  0.977   0.000  0.002  worst class 0.90

middle / busiest or longest, by own machines
                                       30             100  power  at 321
entry: processor %            0.19 / 0.23     0.26 / 0.30  -0.05  0.30
entry: kB a second            26.0 / 38.3     29.5 / 56.3  -0.09  56.3
serving after all were killed, ms   500 / 500     7500 / 7500   1.19  30159
power: the busiest grows as machines to this power
"""


def build_entry(**fields):
    days = [
        {
            "name": "sweep-30",
            "balancers": 33,
            "servers": 302,
            "G": 0.896,
            "served": 0.9,
        },
        {"name": "sweep-100", "balancers": 99, "servers": 990, "G": 0.9, "served": 0.8},
    ]
    for day in days:
        day["rules"] = {}
    entry = {
        "id": "1b82e08d",
        "cmd": "sweep",
        "ok": True,
        "site": "large",
        "head": "3443f0c7f38f",
        "digest": DIGEST,
        "days": days,
    }
    return {**entry, **fields}


def test_rows_have_median_maximum_and_extrapolation():
    sweep = read_sweep(build_entry())
    assert sweep.sizes == (30, 100)
    assert sweep.target_size == 321
    assert [metric.name for metric in sweep.metrics] == [
        "entry: processor %",
        "entry: kB a second",
        "serving after all were killed, ms",
    ]
    assert sweep.metrics[2].by_size == ((500.0, 500.0), (7500.0, 7500.0))
    assert sweep.metrics[2].extrapolated == 30159.0


def test_exceeded_budgets_and_broken_rules_are_shown():
    entry = build_entry()
    entry["days"][1]["rules"] = {"DRAIN": 3}
    text = format_sweep(read_sweep(entry))
    assert "56.3 | 3, OVER |" in text
    assert "0.3 | 1.4 |" in text
    assert "rules broken: sweep-100: DRAIN" in text


def test_entry_without_a_table_raises():
    with pytest.raises(ValueError, match="1b82e08d"):
        read_sweep(build_entry(digest="no table"))


def test_sweeps_of_the_journal_are_printed_and_plotted(tmp_path, capsys, monkeypatch):
    folder = tmp_path / "journal"
    folder.mkdir()
    (folder / "1.json").write_text(json.dumps(build_entry()))
    (folder / "2.json").write_text(json.dumps(build_entry(ok=False)))
    (folder / "3.json").write_text(json.dumps({"cmd": "score", "argv": ["sweep"]}))
    monkeypatch.chdir(tmp_path)
    plot = tmp_path / "sweep.png"
    assert main(["--plot", str(plot)]) == 0
    assert capsys.readouterr().out.count("entry: processor") == 1
    assert plot.stat().st_size > 0
    assert main(["--site", "another"]) == 1
