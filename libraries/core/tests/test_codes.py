"""Tests of the result codes."""

from tarragonward_core import Conclusion, Repeat, ResultCode


def test_numbers_are_unique():
    numbers = [code.number for code in ResultCode]
    assert len(numbers) == len(set(numbers))


def test_a_code_that_may_have_run_is_not_repeated_with_a_new_key():
    for code in ResultCode:
        if code.conclusion is Conclusion.UNKNOWN:
            assert code.repeat is not Repeat.NEW_KEY
