"""Identify a request by its content, independent of host, attempt and request id."""

from __future__ import annotations

import hashlib

__all__ = ["FINGERPRINT_BYTES", "fingerprint_request"]

FINGERPRINT_BYTES = 8
# Each part is length-prefixed, so that different parts never hash the same bytes.
LENGTH_PREFIX_BYTES = 8


def fingerprint_request(
    account: str, method: str, host: str, target: bytes, body: bytes
) -> bytes:
    """Return a hash of a request; a repeat with another request id has the same one.

    account is the name of the client account, empty if the request has none.
    Two different requests collide with a probability of 2**-64.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = (account.encode(), method.encode(), host.lower().encode(), target, body)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.digest()
