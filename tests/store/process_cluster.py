"""Runs members of the store as processes with a fault proxy between them, and collects their output."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

from support.program_process import ProgramProcess

from wheatstile.store.client import StoreClient

OutputByMember = dict[str, list[str]]
"""The lines of standard output of each member, including the output before restarts."""

PORT_RANGE = range(12_000, 32_000)
"""These ports are below the kernel's ephemeral ports, so that a restarted process can reuse its port."""
PORT_ATTEMPTS = 2_000


def find_free_ports(count: int) -> list[int]:
    """Return ports on which no process listens. Raises OSError if there are too few."""
    found: list[int] = []
    rng = random.Random(os.getpid() ^ time.monotonic_ns())
    for port in rng.sample(PORT_RANGE, PORT_ATTEMPTS):
        with suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"only {len(found)} of {count} free ports found")


class ProcessCluster:
    """Members as processes, whose messages to each other pass through the fault proxy.

    The constructor starts the fault proxy, `start` starts members, and `close` ends all processes. The
    directories of the members remain in `root`. If `without_fault_proxy` is set, the members connect to each
    other directly, and do not print the entries that they apply.
    """

    def __init__(
        self,
        root: Path,
        seed: int,
        names: str = "abcde",
        compact_every: int = 40,
        without_fault_proxy: bool = False,
    ) -> None:
        self.root = root
        self.seed = seed
        self.names = names
        self.compact_every = compact_every
        self.without_fault_proxy = without_fault_proxy
        pairs = [(sender, recipient) for sender in names for recipient in names if sender != recipient]
        ports = iter(find_free_ports(2 * len(names) + len(pairs)))
        self.peer_ports = {name: next(ports) for name in names}
        self.client_ports = {name: next(ports) for name in names}
        self.proxy_ports = {pair: next(ports) for pair in pairs}
        routes = [
            f"{sender}:{recipient}:{self.proxy_ports[sender, recipient]}:{self.peer_ports[recipient]}"
            for sender, recipient in pairs
        ]
        self.fault_proxy = ProgramProcess("link", "--frames", "--seed", str(seed), *routes)
        self.fault_proxy.expect("ready")
        self.processes: dict[str, ProgramProcess] = {}
        self.paused: set[str] = set()
        self.output: OutputByMember = {name: [] for name in names}

    def start(self, *names: str, voters: str = "") -> None:
        """Start members concurrently, and return when all are ready.

        `voters` are the initial voters (default: all names). A member that is not a voter waits until it is
        added to the cluster.
        """
        for name in names:
            self.processes[name] = ProgramProcess("store", "serve", *self.arguments(name, voters))
        for name in names:
            self.processes[name].expect("ready")

    def arguments(self, name: str, voters: str) -> list[str]:
        """Return the options of `store serve` for one member."""
        is_joining = bool(voters) and name not in voters
        peers = [peer for peer in self.names if peer != name and (is_joining or not voters or peer in voters)]
        ports = {
            peer: self.peer_ports[peer] if self.without_fault_proxy else self.proxy_ports[name, peer]
            for peer in peers
        }
        options = {
            "--name": name,
            "--listen": self.peer_ports[name],
            "--client": self.client_ports[name],
            "--dir": self.root / name,
            "--seed": self.seed,
            "--compact-every": self.compact_every,
        }
        arguments = [f"{option}={value}" for option, value in options.items()]
        arguments += [f"--peer={peer}={port}" for peer, port in ports.items()]
        arguments += ["--join"] if is_joining else []
        arguments += [] if self.without_fault_proxy else ["--trace"]
        return arguments

    def start_missing(self) -> None:
        """Start all members that are not running."""
        self.start(*(name for name in self.names if name not in self.processes))

    def kill(self, name: str) -> None:
        """End a member with SIGKILL, and collect its output."""
        process = self.processes.pop(name)
        self.paused.discard(name)
        process.signal(signal.SIGKILL)
        process.process.wait()
        self.output[name] += process.all_output()

    def pause(self, name: str) -> None:
        """Pause a member with SIGSTOP until `resume_all`."""
        self.processes[name].signal(signal.SIGSTOP)
        self.paused.add(name)

    def resume_all(self) -> None:
        """Resume all paused members with SIGCONT."""
        for name in self.paused:
            self.processes[name].signal(signal.SIGCONT)
        self.paused.clear()

    def inject(self, command: str) -> None:
        """Send a command, such as `cut a b` or `heal`, to the fault proxy, and wait for its execution."""
        self.fault_proxy.send_command(command)

    def member_options(self) -> list[str]:
        """Return the `--member` options for the client commands of `wheatstile store`."""
        return [f"--member={name}={port}" for name, port in self.client_ports.items()]

    def client(self, timeout_s: float = 20.0) -> StoreClient:
        """Return a client of all members, which the caller closes."""
        return StoreClient(self.client_ports, timeout_s)

    async def leader(self) -> str:
        """Wait until a running member is the leader, and return the name of the latest term's leader."""
        running = set(self.processes) - self.paused
        client = StoreClient({name: self.client_ports[name] for name in running})
        try:
            while not (leader := await client.find_leader()):
                await asyncio.sleep(0.05)
            return leader.name
        finally:
            client.close()

    def close(self) -> OutputByMember:
        """End all processes and return the output of the members."""
        for name in list(self.processes):
            self.kill(name)
        self.fault_proxy.close()
        return self.output


def run_scenario(
    cluster: ProcessCluster, scenario: Callable[[ProcessCluster], Awaitable[None]], voters: str = ""
) -> OutputByMember:
    """Start all members or only `voters`, run the scenario, end all processes, and return their output."""

    async def run() -> None:
        await scenario(cluster)

    try:
        cluster.start(*(voters or cluster.names), voters=voters)
        asyncio.run(run())
    finally:
        output = cluster.close()
    return output


def check_member_output(output: OutputByMember) -> int:
    """Check the output of all members, and return the number of applied entries.

    A term must have one leader, an index must have one entry, and a member must apply entries in the order of
    their indices.
    """
    leader_by_term: dict[str, str] = {}
    entry_by_index: dict[int, list[str]] = {}
    for name, lines in output.items():
        last_index = 0
        for line in lines:
            match line.split():
                case ["leader", term]:
                    first_leader = leader_by_term.setdefault(term, name)
                    assert first_leader == name, f"term {term} was led by {first_leader} and {name}"
                case ["ready", *_]:
                    last_index = 0
                case ["snapshot", index_text]:
                    last_index = int(index_text)
                case ["applied", index_text, *entry]:
                    index = int(index_text)
                    assert last_index in (0, index - 1), f"{name} applied {index} after {last_index}"
                    last_index = index
                    expected = entry_by_index.setdefault(index, entry)
                    assert expected == entry, f"{name} applied {entry} at {index}, not {expected}"
    return len(entry_by_index)
