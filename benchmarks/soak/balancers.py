"""The balancers of the soak as processes: launch, signals, the platform's SIGKILL, and what they leave."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
from pathlib import Path
from typing import IO

from soak.discovery import DiscoveryService, EndpointList
from soak.records import BalancerLife, Notification, RunRecord
from soak.servers import LOOPBACK, free_port

ROOT = Path(__file__).parents[2]
PROGRAM = (sys.executable, "-m", "wheatstile")
PLANTED_FAULTS_SCRIPT = Path(__file__).parent / "planted_faults.py"
KILL_MARGIN_S = 0.7  # protocol: SIGKILL comes no earlier than the longest deadline and this time
MAX_COUNTED_DEADLINE_S = 3.0  # protocol: a longer deadline counts as this one
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
DESCRIPTOR_TOLERANCE = 4  # watches and timers that come and go
POOL_THREADS = 4  # libuv starts them at the first use of its pool, and keeps them


def planted_program(name: str) -> tuple[str, ...]:
    """Return the command of a balancer with a planted fault."""
    return (sys.executable, str(PLANTED_FAULTS_SCRIPT), name)


class SoakBalancer:
    """One balancer with its own discovery services, of which a reload chooses one.

    Attributes:
        life: the record of the latest process.
        is_admitted: whether the front sends new clients to it.
        listen: its address, the same for all its processes.
    """

    def __init__(
        self,
        name: str,
        record: RunRecord,
        endpoints: EndpointList,
        settings: dict[str, object],
        folder: Path,
        descriptors: int,
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self.name = name
        self.is_admitted = False
        self.listen = (LOOPBACK, free_port())
        self.life = BalancerLife(name, 0.0)
        self.services = [DiscoveryService(endpoints, lambda: self.life) for _ in range(2)]
        self._record = record
        self._endpoints = endpoints
        self._settings = settings
        self._folder = folder
        self._descriptors = descriptors
        self._program = program
        self._service = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._baseline: dict[str, int] = {}

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The latest process, which has to be launched."""
        assert self._process
        return self._process

    def log_path(self, life: BalancerLife) -> Path:
        """Return the file with the log of one process."""
        return self._folder / f"{self.name}-{self._record.lives.index(life)}.log"

    def _write_config(self) -> None:
        """Write the platform's file with the present list and the present discovery service."""
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.listen[1]}",
            "discovery": f"{LOOPBACK}:{self.services[self._service].port}",
            "seed": f"{self._record.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self._descriptors},
            "known": self._endpoints.complete(),
            "settings": self._settings,
        }
        temporary = self._folder / f"{self.name}.tmp"
        temporary.write_text(json.dumps(config))
        temporary.replace(self._folder / f"{self.name}.json")

    def launch(self) -> BalancerLife:
        """Start a process, which knows the present list, and return its record."""
        self._write_config()
        life = BalancerLife(self.name, asyncio.get_running_loop().time())
        self._record.lives.append(life)
        life.notifications += [
            Notification(life.launched_at_s, str(member["id"]), str(member["phase"]))
            for member in self._endpoints.changes_after(0)
        ]
        self.life = life
        with self.log_path(life).open("wb") as log:
            self._process = self._start_process(log)
        return life

    def _start_process(self, log: IO[bytes]) -> subprocess.Popen[bytes]:
        limits = (self._descriptors, self._descriptors)

        def prepare() -> None:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as in `run` of deploy/balancer.toml
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment["RELAY_CONFIG"] = str(self._folder / f"{self.name}.json")
        return subprocess.Popen(self._program, cwd=ROOT, env=environment, stderr=log, preexec_fn=prepare)

    async def wait_until_ready(self) -> None:
        """Wait until the process answers PING; the front then admits it."""
        life = self.life
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._answers_ping():
                await asyncio.sleep(POLL_INTERVAL_S)
        if life is self.life:
            self.is_admitted = True
            self._baseline = self._resources()

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
        except OSError:
            return False
        try:
            writer.write(b"PING\r\n")
            return await reader.readline() == b"PONG\r\n"
        except OSError:
            return False
        finally:
            writer.close()

    def reload(self, *, change_discovery: bool) -> None:
        """Write the configuration file anew, and send SIGHUP."""
        if change_discovery:
            self._service = 1 - self._service
        self._write_config()
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the latest process, unless it has ended."""
        life = self.life
        now_s = asyncio.get_running_loop().time()
        if self.process.poll() is None:
            self.process.send_signal(number)
            life.signals.append(f"{number.name}@{now_s:.3f}")
        if number is signal.SIGTERM and life.terminated_at_s is None:
            life.terminated_at_s = now_s

    def kill_outright(self) -> None:
        """Send SIGKILL without a warning."""
        self.is_admitted = False
        self.life.was_killed_outright = True
        self.life.killed_at_s = asyncio.get_running_loop().time()
        self.process.kill()
        self.process.wait()

    async def wait_until_killed(self, longest_deadline_s: float) -> None:
        """Wait for the end of the process, and send SIGKILL at the earliest time that the platform allows."""
        life = self.life
        process = self.process
        loop = asyncio.get_running_loop()
        assert life.terminated_at_s is not None
        kill_at_s = life.terminated_at_s + min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
        while process.poll() is None and loop.time() < kill_at_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            life.killed_at_s = loop.time()
            process.kill()
        life.exit_status = process.wait()
        life.exited_at_s = loop.time()

    def collect_errors(self) -> None:
        """Record the errors in the logs of all processes."""
        for life in self._record.lives:
            if life.name == self.name:
                life.errors += errors_in_log(self.log_path(life).read_text())

    def check_leftovers(self, servers: int) -> None:
        """Record descriptors and threads that a process without clients still has."""
        for kind, count in self._resources().items():
            more = servers + DESCRIPTOR_TOLERANCE if kind == "fd" else POOL_THREADS
            allowed = self._baseline[kind] + more
            if count > allowed:
                self.life.errors.append(f"{count} left in /proc/PID/{kind}, {allowed} allowed")

    def _resources(self) -> dict[str, int]:
        """Return the numbers of open descriptors and of threads."""
        folder = Path(f"/proc/{self.process.pid}")
        return {kind: len(list((folder / kind).iterdir())) for kind in ("fd", "task")}

    def close(self) -> None:
        """End the process and the discovery services."""
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for service in self.services:
            service.close()


def errors_in_log(text: str) -> list[str]:
    """Return the lines of a log that report a fault of the program, and those that are not JSON."""
    errors = []
    for line in text.splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            errors.append(f"in the log: {line}")
            continue
        if entry.get("level") in ("error", "critical"):
            errors.append(f"in the log: {line}")
    return errors
