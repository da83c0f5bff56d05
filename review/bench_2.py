"""Helpers of the cases of the second review: processes, stand-ins for link nodes and discovery, and records.

The stand-ins are new, use the standard library alone, and do only what PROTOCOL-wheatstile.md allows.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
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
    """Relays one direction between two members, or a client and a member, until it is cut.

    While it is cut, nothing passes, and its connections stay open and silent. `heal` resets them.
    """

    def __init__(self, target_port: int, before_request: Callable[[bytes], None] | None = None) -> None:
        self.port = 0
        self.is_cut = False
        self._target_port = target_port
        self._before_request = before_request
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
        back = asyncio.create_task(self._relay(from_target, writer, None))
        await self._relay(reader, to_target, self._before_request)
        await back

    async def _relay(
        self,
        source: asyncio.StreamReader,
        target: asyncio.StreamWriter,
        before: Callable[[bytes], None] | None,
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await source.read(65536):
                if before:
                    before(data)
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
    """Return ports of loopback that are free now."""
    sockets = [socket.create_server((HOST, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


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


# Stand-ins of the platform's line protocol


class LinkNode:
    """A link node. It answers probes, and each OPEN with what `answer` returns (a line without its end)."""

    def __init__(self, name: str, answer: Callable[[str, str], str], record: Record) -> None:
        self.name = name
        self.port = 0
        self.opened: list[tuple[float, str]] = []
        self._answer = answer
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while line := (await reader.readline()).decode("latin-1").rstrip("\r\n"):
                if line.startswith("OPEN "):
                    await self._open(line, reader, writer)
                    break
                writer.write({"PING": b"PONG\r\n", "STATS": b"PONG x0=0.3\r\n"}.get(line, b"NO\r\n"))
                await writer.drain()
        writer.close()

    async def _open(self, line: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session_id = line.split()[1]
        self.opened.append((time.monotonic(), session_id))
        answer = self._answer(self.name, line)
        self._record.write(f"{self.name} got {line!r}, answers {answer!r}")
        writer.write(answer.encode() + b"\r\n")
        await writer.drain()
        if answer.startswith("UP"):
            while echoed := await reader.readline():  # a sound connection returns a line at once
                writer.write(echoed)
                await writer.drain()

    def member(self) -> dict[str, object]:
        """Return the node's entry in discovery's list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": "sousse-a",
            "flavor": "std-2c",
            "cell": 0,
            "phase": "ready",
            "size": 1.0,
            "up_since_ms": 0,
        }


class Discovery:
    """Discovery with a list that does not change. Watches stay open, with an empty line every 2 s."""

    def __init__(self, members: list[dict[str, object]]) -> None:
        self.port = 0
        self._list = {"revision": 1, "complete": True, "members": members}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            request = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            body = json.dumps(self._list).encode() + b"\n"
            if "watch=1" in request:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                writer.write(b"%x\r\n%b\r\n" % (len(body), body))
                while True:
                    await writer.drain()
                    await asyncio.sleep(2)
                    writer.write(b"1\r\n\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()
        writer.close()


SOUSSE_CLASSES = (  # name, aimUs, deadlineUs, worth, as for sousse-central in BRIEF-wheatstile.md
    ("bay-status", 800_000, 4_800_000, 1.0),
    ("stock-sync", 800_000, 4_800_000, 3.0),
    ("queue-board", 300_000, 1_800_000, 1.0),
    ("booking-feed", 500_000, 3_000_000, 1.0),
)


def balancer_config(listen: int, discovery: int, members: list[dict[str, object]]) -> dict[str, object]:
    """Return a platform's configuration like that of sousse-central."""
    classes = [
        {
            "name": name,
            "aimUs": aim_us,
            "deadlineUs": deadline_us,
            "worth": worth,
            "repeat": "retryable",
            "stream": True,
        }
        for name, aim_us, deadline_us, worth in SOUSSE_CLASSES
    ]
    return {
        "name": "n1",
        "listen": f"{HOST}:{listen}",
        "discovery": f"{HOST}:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"revision": 1, "complete": True, "members": members},
        "settings": {
            "fleetSize": 3,
            "classes": classes,
            "discovery": "on_request",
            "familyInfo": {"messageAimUs": [60000.0, 60000.0, 60000.0, 50000.0], "tellsLoad": True},
            "limits": {
                "dialTimeoutUs": 75000,
                "keepaliveUs": 15000000,
                "maxAttempts": 5,
                "maxRetryAfterUs": 2000000,
                "mayProbe": True,
                "retryAfter": True,
                "cancelling": True,
            },
            "rules": {
                "answerSlackUs": 8000,
                "askEveryUs": 10000000,
                "coldFrom": 0.13,
                "drainGraceUs": 1000000,
                "fallUs": 1500000,
                "tipMultiple": 3.0,
                "warmAfterUs": 23000000,
            },
            "telemetry": {"names": ["x0"], "via": "pull"},
            "zone": "sousse-a",
            "zones": ["sousse-a", "sousse-b", "monastir"],
        },
    }


async def first_answer(port: int, line: str, timeout_s: float) -> str:
    """Open one client connection with a first line, and return the balancer's answer ("" if it closes)."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(line.encode() + b"\r\n")
        async with asyncio.timeout(timeout_s):
            return (await reader.readline()).decode("latin-1").rstrip("\r\n")
    except OSError as error:
        return f"({type(error).__name__})"
    finally:
        writer.close()


async def wait_for_pong(port: int, timeout_s: float = 20) -> None:
    """Wait until a balancer answers PING, as the front does before it lets clients in."""
    end_s = time.monotonic() + timeout_s
    while time.monotonic() < end_s:
        with contextlib.suppress(OSError, TimeoutError):
            if await first_answer(port, "PING", 1) == "PONG":
                return
        await asyncio.sleep(0.1)
    raise CannotRunError("the balancer does not answer PING")
