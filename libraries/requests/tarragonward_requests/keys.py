"""Mint and verify the keys of non-idempotent calls; a key names its owner."""

from __future__ import annotations

import base64
import hashlib
import hmac
from dataclasses import dataclass

from tarragonward_core import Address, HostIdentity, RequestRefusedError, ResultCode

from .const import KEY_MAC_BYTES, MAX_KEY_CHARACTERS

__all__ = ["CallKey", "mint_key_prefix", "parse_key"]


@dataclass(frozen=True)
class CallKey:
    """A parsed key: its owner, the time its prefix was minted, and its text.

    minted_at is in whole seconds of the owner's monotonic clock. Only the owner
    compares it, so neither clock skew between hosts nor jumps of the wall clock matter.
    """

    owner: HostIdentity
    minted_at: int
    text: str


def mint_key_prefix(owner: HostIdentity, minted_at: int, secret: bytes) -> str:
    """Return a prefix that names the owner, authenticated by the hosts' shared key.

    A caller that could forge prefixes could make hosts connect to any address, so the
    prefix carries a MAC.
    """
    body = f"{owner}@{minted_at:x}"
    encoded = base64.urlsafe_b64encode(body.encode()).decode().rstrip("=")
    return f"{encoded}.{_sign(body, secret)}"


def parse_key(text: str, secret: bytes) -> CallKey:
    """Parse and verify a key; raise RequestRefusedError if it is invalid."""
    parts = text.split(".", 2)
    # The key is forwarded to the target in a header, which allows only printable ASCII.
    is_valid_header = (
        text.isascii() and text.isprintable() and len(text) <= MAX_KEY_CHARACTERS
    )
    if not is_valid_header or len(parts) != 3 or not parts[2]:
        raise RequestRefusedError(
            ResultCode.KEY_INVALID, "A key is a prefix, a dot and the caller's part."
        )
    encoded, mac, _ = parts
    try:
        padded = encoded + "=" * (-len(encoded) % 4)
        body = base64.urlsafe_b64decode(padded).decode()
        identity, _, minted = body.partition("@")
        key = CallKey(HostIdentity.parse(identity), int(minted, 16), text)
    except ValueError:
        raise RequestRefusedError(ResultCode.KEY_INVALID) from None
    expected = _sign(body, secret)
    if not hmac.compare_digest(expected.encode(), mac.encode()):
        raise RequestRefusedError(ResultCode.KEY_INVALID)
    return key


def _sign(body: str, secret: bytes) -> str:
    digest = hmac.new(secret, b"key-prefix:" + body.encode(), hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:KEY_MAC_BYTES]).decode().rstrip("=")


def get_address(key: CallKey) -> Address:
    """Return the address on which the key's owner listens for peers."""
    return key.owner.address
