"""Choose the hosts responsible for a key by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from tarragonward_core import Address

__all__ = ["choose_hosts"]


def choose_hosts(key: str, hosts: Iterable[Address], count: int) -> list[Address]:
    """Return the count hosts with the highest weights for a key, highest first.

    Hosts with the same view choose the same hosts without coordination. A host that
    joins or leaves only affects the keys that it gains or loses.
    """
    weighted = ((_compute_weight(key, host), host) for host in hosts)
    return [host for _, host in sorted(weighted, reverse=True)[:count]]


def _compute_weight(key: str, host: Address) -> bytes:
    text = f"{key}|{host.host}|{host.port}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
