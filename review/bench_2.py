"""Helpers of the cases of the second review: processes, stand-ins for link nodes and discovery, and records.

The stand-ins are new, use the standard library alone, and do only what PROTOCOL-wheatstile.md allows.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 112.0


class CannotRunError(Exception):
    """The case could not be run, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()
        self.write(f"TROUBLE={int(TROUBLE)}")

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


class Processes:
    """The processes that a case has started; `end` ends them all."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, command: list[str], name: str, environment: dict[str, str]) -> subprocess.Popen[bytes]:
        """Start a process in the project's root; its output goes to `NAME.log` in the temporary folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=clean_environment() | environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._started.append(process)
        return process

    def log_of(self, name: str) -> str:
        """Return the output of a process."""
        return (self.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")

    def end(self) -> None:
        """Kill every process that still runs, by its id."""
        for process in self._started:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def clean_environment() -> dict[str, str]:
    """Return the environment without what would configure the project's programs."""
    return {key: value for key, value in os.environ.items() if not key.startswith(("RELAY_", "WHEATSTILE_"))}


def deploy_line(key: str) -> str:
    """Return a command of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[key])


def store_command(*arguments: str) -> list[str]:
    """Return the command of the store, which is the deploy file's `run` line with the store's arguments."""
    return ["/bin/sh", "-c", f'{deploy_line("run")} store "$@"', "store", *arguments]


class StoreMembers:
    """The members of one store as processes, each with its own directory."""

    def __init__(self, processes: Processes, names: str, limits: str = "") -> None:
        ports = free_ports(2 * len(names))
        self.peer_ports = dict(zip(names, ports[: len(names)], strict=True))
        self.client_ports = dict(zip(names, ports[len(names) :], strict=True))
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.reach_peers_at: Callable[[str], dict[str, int]] = self._direct_ports
        self._processes = processes
        self._limits = limits

    def _direct_ports(self, name: str) -> dict[str, int]:
        return {peer: port for peer, port in self.peer_ports.items() if peer != name}

    def start(self) -> None:
        """Start all members."""
        for name in self.peer_ports:
            self.start_one(name)

    def start_one(self, name: str, *options: str) -> None:
        """Start a member, with the limits that the shell sets before it starts the program."""
        peers = [f"--peer={peer}={port}" for peer, port in self.reach_peers_at(name).items()]
        command = store_command(
            "serve",
            f"--name={name}",
            f"--listen={self.peer_ports[name]}",
            f"--client={self.client_ports[name]}",
            f"--dir={self._processes.folder / name}",
            *peers,
            *options,
        )
        command[2] = self._limits + command[2]
        self.running[name] = self._processes.start(command, f"member-{name}", {})

    def kill(self, name: str) -> None:
        """End a member with SIGKILL."""
        self.running[name].kill()
        self.running[name].wait()

    def options(self, ports: dict[str, int] | None = None) -> list[str]:
        """Return the `--member` options of the client commands."""
        return [f"--member={name}={port}" for name, port in (ports or self.client_ports).items()]

    def ended(self) -> dict[str, int]:
        """Return the exit statuses of the members that have ended."""
        return {
            name: process.returncode for name, process in self.running.items() if process.poll() is not None
        }


class Link:
    """Relays the connections from one member to another until it is cut.

    While it is cut, nothing passes, and its connections stay open and silent. `heal` resets them.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.is_cut = False
        self._target_port = target_port
        self._silenced: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.is_cut:
            self._silenced.append(writer)
            return
        try:
            from_target, to_target = await asyncio.open_connection(HOST, self._target_port)
        except OSError:
            writer.close()
            return
        back = asyncio.create_task(self._relay(from_target, writer))
        await self._relay(reader, to_target)
        await back

    async def _relay(self, source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await source.read(65536):
                if self.is_cut:
                    break
                target.write(data)
                await target.drain()
        if self.is_cut:
            self._silenced.append(target)
        else:
            target.close()

    def heal(self) -> None:
        """Let bytes pass again, and reset the connections of the time before."""
        self.is_cut = False
        for writer in self._silenced:
            writer.transport.abort()
        self._silenced.clear()


class Network:
    """The connections between the members, each through a `Link`."""

    def __init__(self, members: StoreMembers) -> None:
        self._names = list(members.peer_ports)
        self.links = {
            (sender, recipient): Link(members.peer_ports[recipient])
            for sender in self._names
            for recipient in self._names
            if sender != recipient
        }

    async def start(self) -> None:
        """Start all links."""
        for link in self.links.values():
            await link.start()

    def ports_of(self, sender: str) -> dict[str, int]:
        """Return the ports at which a member reaches the others."""
        return {recipient: link.port for (name, recipient), link in self.links.items() if name == sender}

    def isolate(self, name: str) -> None:
        """Cut a member off from the others."""
        for pair, link in self.links.items():
            link.is_cut = link.is_cut or name in pair

    def heal(self) -> None:
        """End the partition."""
        for link in self.links.values():
            if link.is_cut:
                link.heal()


async def run_store_command(record: Record, *arguments: str) -> tuple[int, str]:
    """Run a client command of the store, and return its exit status and its output."""
    process = await asyncio.create_subprocess_exec(
        *store_command(*arguments),
        cwd=ROOT,
        env=clean_environment(),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await process.communicate()
    except asyncio.CancelledError:
        process.kill()
        raise
    text = output.decode("utf-8", "replace").strip()
    words = [word for word in arguments if not word.startswith("--member")]
    record.write(f"store {' '.join(words)}: exit status {process.returncode}: {text}")
    return process.returncode or 0, text


async def wait_for_store(record: Record, members: StoreMembers) -> None:
    """Wait until the store answers a write. Raises CannotRunError."""
    for _ in range(10):
        status, _ = await run_store_command(record, "put", "ready", "1", *members.options())
        if status == 0:
            return
        await asyncio.sleep(0.5)
    raise CannotRunError("the store does not answer a write")


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that are free now, below those that the system gives to clients.

    A member that is started again can then use its port again.
    """
    ports: list[int] = []
    for port in random.sample(range(12_000, 32_000), 2_000):
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRunError("too few ports are free")


async def wait_until(condition: Callable[[], bool], timeout_s: float, what: str) -> None:
    """Wait until the condition holds. Raises CannotRunError after the time."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRunError(f"not within {timeout_s:g} s: {what}")
        await asyncio.sleep(0.05)


@contextlib.contextmanager
def temporary_folder() -> Iterator[Path]:
    """Provide a temporary folder that is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True) as name:
        yield Path(name)


Case = Callable[[Record, Processes], Awaitable[int]]


def main(folder: Path, case: Case) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(folder)
    status = NOT_RUN
    with temporary_folder() as temporary:
        processes = Processes(temporary)
        try:
            status = asyncio.run(asyncio.wait_for(case(record, processes), LIMIT_S))
        except (CannotRunError, OSError, TimeoutError) as error:
            record.say(f"the case could not run: {type(error).__name__}: {error}")
            for log in sorted(temporary.glob("*.log")):
                record.write(f"{log.name}: {processes.log_of(log.stem)[-2000:]}")
        finally:
            processes.end()
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no result"))
    sys.exit(status)
