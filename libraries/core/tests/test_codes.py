"""Tests for the result codes."""

from pathlib import Path

from tarragonward_core import Conclusion, Repeat, ResultCode, build_code_page

PAGE = Path(__file__).parents[3] / "docs" / "RESULT_CODES.md"


def test_documentation_page_matches_the_codes():
    assert PAGE.read_text() == build_code_page(), "run script/result_codes"


def test_numbers_are_unique():
    numbers = [code.number for code in ResultCode]
    assert len(numbers) == len(set(numbers))


def test_unknown_outcomes_are_not_retried_with_a_new_key():
    for code in ResultCode:
        if code.conclusion is Conclusion.UNKNOWN:
            assert code.repeat is not Repeat.NEW_KEY
