"""Tests of what makes two requests the same."""

import time

import pytest

from tarragonward_requests import FINGERPRINT_BYTES, fingerprint_request

PARTS = ("town", "POST", "app.example", b"/app/x", b"body")


def test_a_repeat_has_the_fingerprint_of_the_first():
    assert fingerprint_request(*PARTS) == fingerprint_request(*PARTS)
    assert len(fingerprint_request(*PARTS)) == FINGERPRINT_BYTES


@pytest.mark.parametrize("place", range(len(PARTS)))
def test_each_part_counts(place):
    parts = list(PARTS)
    parts[place] += parts[place][:1]
    assert fingerprint_request(*parts) != fingerprint_request(*PARTS)


def test_parts_do_not_run_into_each_other():
    """Two requests whose parts join to the same bytes must not share a blame."""
    one = fingerprint_request("a", "POST", "h", b"/x", b"yz")
    assert one != fingerprint_request("a", "POST", "h", b"/xy", b"z")


def test_a_prompt_of_a_million_tokens_is_hashed_within_a_step_of_its_reading():
    body = bytes(5_000_000)
    before = time.process_time()
    fingerprint_request("town", "POST", "app.example", b"/app/x", body)
    assert time.process_time() - before < 0.5
