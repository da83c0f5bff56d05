"""Three members of the store, each a process of the project, as docs/operators/store.md starts them."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import time
from pathlib import Path

from stand_ins import CouldNotRunError, Programs, Record, free_ports

NAMES = ("a", "b", "c")


class StoreCluster:
    """Members on loopback ports. `link` has the ports of a proxy: where one member finds another."""

    def __init__(self, programs: Programs, record: Record, folder: Path, *options: object) -> None:
        self.programs = programs
        self.record = record
        self.folder = folder
        self.options = options
        ports = free_ports(2 * len(NAMES))
        self.peer = dict(zip(NAMES, ports, strict=False))
        self.client = dict(zip(NAMES, ports[len(NAMES) :], strict=False))
        self.link: dict[tuple[str, str], int] = {}
        self.running: dict[str, subprocess.Popen[str]] = {}
        self._starts = dict.fromkeys(NAMES, 0)

    def start(self, name: str) -> None:
        others = [other for other in NAMES if other != name]
        peers = [f"--peer={other}={self.link.get((name, other), self.peer[other])}" for other in others]
        arguments: list[object] = ["store", "serve", f"--name={name}", f"--listen={self.peer[name]}"]
        arguments += [f"--client={self.client[name]}", f"--dir={self.folder / name}", *peers, *self.options]
        self._starts[name] += 1
        self.running[name] = self.programs.start(f"store-{name}", *arguments)

    async def ready(self, name: str, limit_s: float) -> bool:
        """Return whether the member says that it is ready before it ends or the time is over."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if self.programs.log_of(f"store-{name}").count("ready ") >= self._starts[name]:
                return True
            if self.running[name].poll() is not None:
                log = self.programs.log_of(f"store-{name}").strip().splitlines()
                ended = f"exit status {self.running[name].returncode}"
                self.record(f"member {name} ended, {ended}: {log[-1] if log else ''}")
                return False
            await asyncio.sleep(0.05)
        self.record(f"member {name} was not ready within {limit_s} s")
        return False

    async def start_all(self) -> None:
        for name in NAMES:
            self.start(name)
        for name in NAMES:
            if not await self.ready(name, 20):
                raise CouldNotRunError(f"member {name} did not start")

    async def stop(self, name: str) -> None:
        """End a member as its page says: SIGTERM ends a member with status 0."""
        process = self.running[name]
        process.send_signal(signal.SIGTERM)
        status = await asyncio.to_thread(process.wait, 20)
        self.record(f"SIGTERM {name} -> exit {status}")

    def member_options(self) -> list[str]:
        return [f"--member={name}={port}" for name, port in self.client.items()]
