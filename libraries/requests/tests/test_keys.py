"""Tests of the keys of non-idempotent calls."""

import pytest

from tarragonward_core import Address, HostIdentity, RequestRefusedError, ResultCode
from tarragonward_requests import mint_key_prefix, parse_key

OWNER = HostIdentity(Address("127.0.0.1", 7000), 0xABC)
SECRET = b"s" * 32
PREFIX = mint_key_prefix(OWNER, 1234, SECRET)


def test_a_key_names_its_owner_and_its_mint_time():
    key = parse_key(f"{PREFIX}.booking.1", SECRET)
    assert (key.owner, key.minted_at) == (OWNER, 1234)
    assert key.text == f"{PREFIX}.booking.1"


@pytest.mark.parametrize(
    "text",
    [
        "",
        PREFIX,
        f"{PREFIX}.",
        f"{PREFIX}." + "x" * 300,
        f"{PREFIX}.h\xfcbsch",
        f"{PREFIX}.a\tb",
        f"x{PREFIX}.1",
        PREFIX.split(".")[0] + ".AAAAAAAAAAAA.1",
        mint_key_prefix(OWNER, 1234, b"x" * 32) + ".1",
        "====.AAAA.1",
        "\u00e9.AAAA.1",
    ],
)
def test_a_key_that_no_host_minted_is_rejected(text):
    """A caller that could forge prefixes could make hosts connect to any address."""
    with pytest.raises(RequestRefusedError) as caught:
        parse_key(text, SECRET)
    assert caught.value.code is ResultCode.KEY_INVALID
