"""Tests that the demo ends its processes on every signal that ends it."""

import asyncio
import os
import signal
import sys
import uuid
from pathlib import Path

import pytest

MARKER_VARIABLE = "TARRAGONWARD_DEMO_TEST"


def list_marked_pids(marker):
    """Return the ids of all processes that inherited the marker, also orphaned ones."""
    pids = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"{MARKER_VARIABLE}={marker}".encode() in path.read_bytes().split(b"\0"):
                pids.append(path.parent.name)
        except OSError:
            continue
    return pids


@pytest.mark.parametrize(
    "signal_number", [signal.SIGINT, signal.SIGTERM, signal.SIGHUP]
)
@pytest.mark.parametrize("last_line", ["progress starting", "The site is up"])
async def test_the_demo_leaves_no_process_running(signal_number, last_line):
    """The demo is ended by Ctrl-C, by closing its terminal, or as a job.

    The signal arrives while the site starts or once it is up. The demo must end all
    processes of the site before it exits itself.
    """
    marker = uuid.uuid4().hex
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tarragonward_bench.demo",
        "--keep",
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, MARKER_VARIABLE: marker},
    )
    try:
        async with asyncio.timeout(60):
            while last_line not in (await process.stdout.readline()).decode():
                pass
            while len(list_marked_pids(marker)) < 2:
                await asyncio.sleep(0.01)
            process.send_signal(signal_number)
            assert await process.wait() == 0
        assert not list_marked_pids(marker)
    finally:
        for pid in list_marked_pids(marker):
            os.kill(int(pid), signal.SIGKILL)
