"""Members of the store as processes, the fault link between them, and what each wrote over its restarts."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from fleet import Program

from wheatstile.store.client import Client

Written = dict[str, list[str]]  # lines by member


def free_ports(count: int) -> list[int]:
    """Ports nobody has, below those that the kernel gives to connections: a process may come back to them."""
    found: list[int] = []
    for port in random.Random(os.getpid() ^ time.monotonic_ns()).sample(range(12_000, 32_000), 2_000):
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"no {count} free ports")


class Members:
    """Every message between two members goes through the link, but where they are `direct` (then they do not
    say what they apply either). `close` ends all processes."""

    def __init__(
        self, root: Path, seed: int, names: str = "abcde", compact_every: int = 40, direct: bool = False,
    ) -> None:
        self.root, self.seed, self.names, self.compact_every = root, seed, names, compact_every
        self.direct = direct
        pairs = [(x, y) for x in names for y in names if x != y]
        ports = free_ports(2 * len(names) + len(pairs))
        self.listen = dict(zip(names, ports, strict=False))
        self.clients = dict(zip(names, ports[len(names):], strict=False))
        self.via = dict(zip(pairs, ports[2 * len(names):], strict=True))
        routes = [f"{x}:{y}:{self.via[x, y]}:{self.listen[y]}" for x, y in pairs]
        self.link = Program("link", "--frames", "--seed", str(seed), *routes)
        self.link.expect("ready")
        self.nodes: dict[str, Program] = {}
        self.stopped: set[str] = set()
        self.written: dict[str, list[str]] = {name: [] for name in names}

    def start(self, *names: str, voters: str = "") -> None:
        """Starts these at once, and returns when all are ready; a name outside `voters` joins."""
        for name in names:
            join = ["--join"] if voters and name not in voters else []
            peers = [f"--peer={y}={self.listen[y] if self.direct else self.via[name, y]}" for y in self.names
                     if y != name and (join or not voters or y in voters)]
            trace = [] if self.direct else ["--trace"]
            self.nodes[name] = Program(
                "store", "serve", "--name", name, "--listen", str(self.listen[name]), *trace, *join,
                "--client", str(self.clients[name]), "--dir", str(self.root / name), "--seed", str(self.seed),
                "--compact-every", str(self.compact_every), *peers)
        for name in names:
            self.nodes[name].expect("ready")

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        self.stopped.discard(name)
        node.signal(signal.SIGKILL)
        node.process.wait()
        self.written[name] += node.rest()

    def stop(self, name: str) -> None:
        self.nodes[name].signal(signal.SIGSTOP)
        self.stopped.add(name)

    def wake(self) -> None:
        for name in self.stopped:
            self.nodes[name].signal(signal.SIGCONT)
        self.stopped.clear()

    def client(self, within: float = 20.0) -> Client:
        return Client(self.clients, within)

    async def leader(self) -> str:
        """Who leads in the highest term that any member knows of."""
        client = Client({name: self.clients[name] for name in set(self.nodes) - self.stopped})
        try:
            while not (leader := await client.leader()):
                await asyncio.sleep(0.05)
            return leader.name
        finally:
            client.close()

    def close(self) -> Written:
        for name in list(self.nodes):
            self.kill(name)
        self.link.close()
        return self.written


def played(
    members: Members, work: Callable[[Members], Coroutine[Any, Any, None]], voters: str = "",
) -> Written:
    """Starts the members (or only `voters`), does the work, and ends them all; what each wrote."""
    try:
        members.start(*(voters or members.names), voters=voters)
        asyncio.run(work(members))
    finally:
        written = members.close()
    return written


def check(written: Written) -> int:
    """One leader a term, one entry at each index, each applied in order; how many were applied."""
    leaders: dict[str, str] = {}
    truth: dict[int, tuple[str, ...]] = {}
    for name, lines in written.items():
        last = 0
        for line in lines:
            match line.split():
                case ["leader", term]:
                    first = leaders.setdefault(term, name)
                    assert first == name, f"term {term} was led by {first} and {name}"
                case ["ready", *_]:
                    last = 0
                case ["snapshot", index]:
                    last = int(index)
                case ["applied", index, *entry]:
                    at = int(index)
                    assert last in (0, at - 1), f"{name} applied {at} after {last}"
                    last = at
                    known = truth.setdefault(at, tuple(entry))
                    assert known == tuple(entry), f"{name} applied {entry} at {at}, not {known}"
    return len(truth)
