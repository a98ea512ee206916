"""Find addresses and ports for the hosts of a stand-in."""

from __future__ import annotations

import os
import socket
from contextlib import ExitStack, suppress

__all__ = ["build_ip", "find_ports"]


def build_ip(index: int) -> str:
    """Return the loopback address of this process's host with a number."""
    # Each process uses its own loopback addresses: on shared ones, another site could
    # take a free port before a host listens on it.
    high, low = divmod(os.getpid(), 1 << 8)
    return f"127.{high % 127 + 1}.{low}.{index + 1}"


def find_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all of these addresses."""
    found: list[int] = []
    with ExitStack() as stack:
        while len(found) < count:
            port = _bind(stack, ips[0], 0)
            with suppress(OSError):
                for ip in ips[1:]:
                    _bind(stack, ip, port)
                found.append(port)
    return found


def _bind(stack: ExitStack, ip: str, port: int) -> int:
    sock = stack.enter_context(socket.socket())
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((ip, port))
    return sock.getsockname()[1]
