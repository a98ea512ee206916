"""Tests of request fingerprints."""

import time

import pytest

from tarragonward_requests import FINGERPRINT_BYTES, fingerprint_request

PARTS = ("town", "POST", "app.example", b"/app/x", b"body")


def test_a_repeat_has_the_same_fingerprint():
    assert fingerprint_request(*PARTS) == fingerprint_request(*PARTS)
    assert len(fingerprint_request(*PARTS)) == FINGERPRINT_BYTES


@pytest.mark.parametrize("index", range(len(PARTS)))
def test_each_part_changes_the_fingerprint(index):
    parts = list(PARTS)
    parts[index] += parts[index][:1]
    assert fingerprint_request(*parts) != fingerprint_request(*PARTS)


def test_the_boundaries_between_parts_count():
    """Requests whose joined parts are the same bytes must not be confused."""
    one = fingerprint_request("a", "POST", "h", b"/x", b"yz")
    assert one != fingerprint_request("a", "POST", "h", b"/xy", b"z")


def test_hashing_a_prompt_of_a_million_tokens_takes_under_half_a_second():
    body = bytes(5_000_000)
    before = time.process_time()
    fingerprint_request("town", "POST", "app.example", b"/app/x", body)
    assert time.process_time() - before < 0.5
