"""Tests of the removal of safeguards, on a small workspace."""

import re
from dataclasses import replace
from pathlib import Path

import pytest

from tarragonward_bench.proofs.main import Verdict, prove
from tarragonward_bench.proofs.rows import Row, RowError, load_rows, remove_safeguard

ROOT = Path(__file__).parents[3]
SOURCE = '''"""Divide."""


def divide(left, right):
    if not right:
        return 0
    return left / right
'''
TESTS = """
from proved_package import divide
import pytest

@pytest.mark.parametrize("left", [0, 4])
def test_by_nothing(left):
    assert divide(left, 0) == 0

def test_by_two():
    assert divide(4, 2) == 2

def test_that_is_red():
    assert divide(4, 2) == 3
"""
ROW = Row(
    promise="an answer for all",
    fault="nothing to divide by",
    file="libraries/one/proved_package/__init__.py",
    lines="    if not right:\n        return 0",
    instead="",
    tests=("tests/test_divide.py::test_by_nothing",),
    seen="no answer",
)


@pytest.fixture
def root(tmp_path):
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_divide.py").write_text(TESTS)
    package = tmp_path / "libraries/one/proved_package"
    package.mkdir(parents=True)
    (package / "__init__.py").write_text(SOURCE)
    (tmp_path / "pyproject.toml").write_text(
        '[tool.pytest.ini_options]\naddopts = "--import-mode=importlib"\n'
    )
    return tmp_path


def test_row_is_proved_only_if_its_tests_fail_without_the_safeguard(root):
    """A test listed for a safeguard may not cover it.

    A row must not pass if a test passes without the safeguard, fails with it too or
    doesn't exist, if its lines have changed, or if the edit leaves an undefined name,
    with which any test fails.
    """
    rows = [
        ROW,
        replace(ROW, tests=(*ROW.tests, "tests/test_divide.py::test_by_two")),
        replace(ROW, tests=("tests/test_divide.py::test_that_is_red",)),
        replace(ROW, tests=("tests/test_divide.py::test_that_is_gone",)),
        replace(ROW, lines="    if right == 0:\n        return 0"),
        replace(ROW, instead="    raise NotThereError"),
    ]
    findings = prove(root, rows, jobs=2)
    assert [finding.verdict for finding in findings] == [
        Verdict.PROVED,
        Verdict.SURVIVES,
        Verdict.RED,
        Verdict.RED,
        Verdict.STALE,
        Verdict.STALE,
    ]
    assert (root / ROW.file).read_text() == SOURCE


def test_lines_must_occur_once_as_whole_lines():
    assert remove_safeguard(ROW, SOURCE).count("\n") == SOURCE.count("\n") - 2
    with pytest.raises(RowError, match="occur 0 times"):
        remove_safeguard(replace(ROW, lines="    if not"), SOURCE)
    with pytest.raises(RowError, match="occur 2 times"):
        remove_safeguard(ROW, SOURCE + SOURCE)
    with pytest.raises(RowError, match="not valid Python"):
        remove_safeguard(replace(ROW, lines="        return 0"), SOURCE)


def test_every_row_of_the_table_applies_to_the_code():
    """A row must follow when its safeguard or test changes."""
    rows = load_rows(ROOT / "docs/proofs.toml")
    assert len(rows) > 40
    for row in rows:
        remove_safeguard(row, (ROOT / row.file).read_text("utf-8"))
        for test in row.tests:
            path, _, name = test.partition("::")
            source = (ROOT / path).read_text("utf-8")
            assert re.search(rf"^(async )?def {name}\(", source, re.M), test
