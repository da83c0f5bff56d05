"""Runs one member of the store as a process for the time of a function."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import closing
from pathlib import Path

from support.program_process import ProgramProcess

from wheatstile.store.client import StoreClient


def run_with_member(
    directory: Path, cluster: str, use: Callable[[StoreClient], Awaitable[None]], name: str = "a"
) -> None:
    """Start one member in the directory, call `use` with a client, and end the member with SIGTERM."""
    process = ProgramProcess("store", "serve", "--name", name, "--cluster", cluster, "--dir", str(directory))

    async def run(port: int) -> None:
        with closing(StoreClient({name: port}, 30)) as client:
            await use(client)

    try:
        _, _, _, client_port = process.expect("ready").split()
        asyncio.run(run(int(client_port)))
    finally:
        process.signal(signal.SIGTERM)
        assert process.close() == 0
