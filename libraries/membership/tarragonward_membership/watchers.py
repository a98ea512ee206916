"""Choose the few hosts that do a thing for all, by rendezvous hashing."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from tarragonward_core import Address

__all__ = ["choose_hosts"]


def choose_hosts(subject: str, hosts: Iterable[Address], count: int) -> list[Address]:
    """Return the count hosts of highest weight for the subject, the highest first.

    Hosts that agree on who is there choose the same ones, with no word between them;
    a host that comes or goes changes only the subjects that it gains or loses.
    """
    weighed = ((_weigh(subject, host), host) for host in hosts)
    return [host for _, host in sorted(weighed, reverse=True)[:count]]


def _weigh(subject: str, host: Address) -> bytes:
    text = f"{subject}|{host.host}|{host.port}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
