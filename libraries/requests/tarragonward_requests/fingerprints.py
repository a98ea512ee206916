"""Tell requests apart by what they ask, whichever attempt and host carries them."""

from __future__ import annotations

import hashlib

__all__ = ["FINGERPRINT_BYTES", "fingerprint_request"]

FINGERPRINT_BYTES = 8
# Lengths before the parts, so that no two lists of parts give the same bytes.
LENGTH_PREFIX_BYTES = 8


def fingerprint_request(
    account: str, method: str, host: str, target: bytes, body: bytes
) -> bytes:
    """Return bytes that stand for a request; a repeat with its own id has the same.

    account is the client account's name, empty where the caller needs none. Two
    different requests share a fingerprint by chance once in 2**64 pairs.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = (account.encode(), method.encode(), host.lower().encode(), target, body)
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.digest()
