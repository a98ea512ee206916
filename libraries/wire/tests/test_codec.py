"""Tests for encoding and decoding messages between hosts."""

from dataclasses import dataclass

import msgpack
import pytest

from tarragonward_core import FrameError
from tarragonward_wire import decode_message, encode_message, register_message


@register_message
@dataclass(frozen=True)
class Sample:
    number: int
    text: str
    parts: tuple[int, ...]


def test_messages_round_trip():
    sample = Sample(1, "a", (1, 2))
    assert decode_message(encode_message(sample)) == sample


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb(["Unknown", []]),
        msgpack.packb(["Sample", [1, "a"]]),
        msgpack.packb(["Sample", [True, "a", []]]),
        msgpack.packb(["Sample", [1, 2, []]]),
        msgpack.packb({"Sample": 1}),
    ],
)
def test_invalid_messages_are_refused(data):
    with pytest.raises(FrameError):
        decode_message(data)
