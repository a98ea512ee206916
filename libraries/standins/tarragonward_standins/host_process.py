"""Run a host's module with links that the test can cut: python -m ... MODULE.

On one machine the network can't be cut for a single process. This program makes the
host's outgoing connections come from its own address, so that a fault proxy knows them
apart, and refuses or stalls those that the file named by LINKS_VARIABLE lists.
"""

from __future__ import annotations

import asyncio
import errno
import json
import os
import runpy
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tarragonward_core import Address

__all__ = ["HOST_LAUNCHER", "LINKS_VARIABLE", "CuttableEventLoop", "write_links"]

HOST_LAUNCHER = "tarragonward_standins.host_process"
LINKS_VARIABLE = "TARRAGONWARD_STANDIN_LINKS"
LOOPBACK_PREFIX = "127."


def write_links(
    path: Path, ip: str, cut: Iterable[Address] = (), is_silent: bool = False
) -> None:
    """Write the state of a host's links: its own IP, and the addresses cut off."""
    document = {"ip": ip, "cut": [str(each) for each in cut], "is_silent": is_silent}
    draft = path.with_suffix(".new")
    draft.write_text(json.dumps(document), encoding="utf-8")
    draft.replace(path)


def _read_links() -> dict[str, Any]:
    return json.loads(Path(os.environ[LINKS_VARIABLE]).read_text(encoding="utf-8"))


class CuttableEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose connections to the listed addresses fail."""

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        """Connect, unless the link to the address is cut."""
        links = _read_links()
        if f"{host}:{port}" in links["cut"]:
            if links["is_silent"]:
                await asyncio.Event().wait()
            raise ConnectionRefusedError(errno.ECONNREFUSED, "the link is cut")
        if isinstance(host, str) and host.startswith(LOOPBACK_PREFIX):
            options.setdefault("local_addr", (links["ip"], 0))
        return await super().create_connection(protocol_factory, host, port, **options)


class _Policy(asyncio.DefaultEventLoopPolicy):
    _loop_factory = CuttableEventLoop


def main() -> None:
    """Run the module named by the first argument as its own program would."""
    asyncio.set_event_loop_policy(_Policy())
    sys.argv = sys.argv[1:]
    runpy.run_module(sys.argv[0], run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
