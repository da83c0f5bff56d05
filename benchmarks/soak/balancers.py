"""Runs the balancers of the soak test as processes: start, signals, reload, SIGKILL, leak checks."""

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
from soak.records import Notification, ProcessRecord, RunRecord
from soak.servers import LOOPBACK, reserve_port

ROOT = Path(__file__).parents[2]
PROGRAM = (sys.executable, "-m", "wheatstile")
PLANTED_FAULTS_SCRIPT = Path(__file__).parent / "planted_faults.py"
KILL_MARGIN_S = 0.7  # protocol: minimum time between the end of the longest deadline and SIGKILL
MAX_COUNTED_DEADLINE_S = 3.0  # protocol: a longer deadline delays SIGKILL by this time only
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02
DESCRIPTOR_TOLERANCE = 4  # watches and timers may be open for a short time
LIBUV_POOL_THREADS = 4  # libuv starts these threads when its pool is first used, and keeps them


def planted_program(name: str) -> tuple[str, ...]:
    """Return the command of a balancer with a planted fault."""
    return (sys.executable, str(PLANTED_FAULTS_SCRIPT), name)


class SoakBalancer:
    """One balancer and its two discovery services. A process uses one of them; a reload may select the other.

    Attributes:
        process_record: the record of the latest process.
        accepts_new_clients: True if new clients may connect to this balancer.
        listen: the address on which the balancer listens; it does not change when the process is restarted.
    """

    def __init__(
        self,
        name: str,
        record: RunRecord,
        endpoints: EndpointList,
        settings: dict[str, object],
        directory: Path,
        max_descriptors: int,
        program: tuple[str, ...] = PROGRAM,
    ) -> None:
        self.name = name
        self.accepts_new_clients = False
        self._reservation = reserve_port()
        self.listen = (LOOPBACK, int(self._reservation.getsockname()[1]))
        self.process_record = ProcessRecord(name, 0.0)
        self.discovery_services = [DiscoveryService(endpoints, lambda: self.process_record) for _ in range(2)]
        self._record = record
        self._endpoints = endpoints
        self._settings = settings
        self._directory = directory
        self._max_descriptors = max_descriptors
        self._program = program
        self._service_index = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._baseline: dict[str, int] = {}

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """The latest process. `launch` must have been called."""
        assert self._process
        return self._process

    def log_path(self, process_record: ProcessRecord) -> Path:
        """Return the path of the log file of one process."""
        return self._directory / f"{self.name}-{self._record.process_records.index(process_record)}.log"

    def _write_config(self) -> None:
        """Write the platform's configuration file with the current endpoint list and discovery service."""
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.listen[1]}",
            "discovery": f"{LOOPBACK}:{self.discovery_services[self._service_index].port}",
            "seed": f"{self._record.seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self._max_descriptors},
            "known": self._endpoints.complete_list(),
            "settings": self._settings,
        }
        temporary = self._directory / f"{self.name}.tmp"
        temporary.write_text(json.dumps(config))
        temporary.replace(self._directory / f"{self.name}.json")

    def launch(self) -> ProcessRecord:
        """Start a process with the current endpoint list in its configuration, and return its record."""
        self._write_config()
        process_record = ProcessRecord(self.name, asyncio.get_running_loop().time())
        self._record.process_records.append(process_record)
        process_record.notifications += [
            Notification(process_record.launched_at_s, str(member["id"]), str(member["phase"]))
            for member in self._endpoints.changes_after(0)
        ]
        self.process_record = process_record
        with self.log_path(process_record).open("wb") as log:
            self._process = self._start_process(log)
        return process_record

    def _start_process(self, log: IO[bytes]) -> subprocess.Popen[bytes]:
        limits = (self._max_descriptors, self._max_descriptors)

        def configure_child() -> None:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)  # like the `run` command in deploy/balancer.toml
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        environment = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        environment["RELAY_CONFIG"] = str(self._directory / f"{self.name}.json")
        return subprocess.Popen(
            self._program, cwd=ROOT, env=environment, stderr=log, preexec_fn=configure_child
        )

    async def wait_until_ready(self) -> None:
        """Wait until the process answers PING, and then let new clients connect to it."""
        process_record = self.process_record
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._answers_ping():
                await asyncio.sleep(POLL_INTERVAL_S)
        if process_record is self.process_record:
            self.accepts_new_clients = True
            self._baseline = self._count_resources()

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
        """Rewrite the configuration file, and send SIGHUP."""
        if change_discovery:
            self._service_index = 1 - self._service_index
        self._write_config()
        self.signal(signal.SIGHUP)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the latest process unless it has ended."""
        process_record = self.process_record
        now_s = asyncio.get_running_loop().time()
        if self.process.poll() is None:
            self.process.send_signal(number)
            process_record.signals.append(f"{number.name}@{now_s:.3f}")
        if number is signal.SIGTERM and process_record.sigterm_at_s is None:
            process_record.sigterm_at_s = now_s

    def kill_without_sigterm(self) -> None:
        """Send SIGKILL without SIGTERM before it."""
        self.accepts_new_clients = False
        self.process_record.was_killed_without_sigterm = True
        self.process_record.sigkill_at_s = asyncio.get_running_loop().time()
        self.process.kill()
        self.process.wait()

    async def wait_until_ended(self, longest_deadline_s: float) -> None:
        """Wait until the process ends, or send SIGKILL at the earliest time that the protocol allows."""
        process_record = self.process_record
        process = self.process
        loop = asyncio.get_running_loop()
        assert process_record.sigterm_at_s is not None
        kill_at_s = (
            process_record.sigterm_at_s + min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + KILL_MARGIN_S
        )
        while process.poll() is None and loop.time() < kill_at_s:
            await asyncio.sleep(POLL_INTERVAL_S)
        if process.poll() is None:
            process_record.sigkill_at_s = loop.time()
            process.kill()
        process_record.exit_status = process.wait()
        process_record.exited_at_s = loop.time()

    def collect_errors(self) -> None:
        """Add the errors in the logs of this balancer's processes to their records."""
        for process_record in self._record.process_records:
            if process_record.name == self.name:
                process_record.errors += errors_in_log(self.log_path(process_record).read_text())

    def check_resource_leaks(self, servers: int) -> None:
        """Record an error if descriptors or threads are left after all clients have disconnected."""
        for kind, count in self._count_resources().items():
            tolerance = servers + DESCRIPTOR_TOLERANCE if kind == "fd" else LIBUV_POOL_THREADS
            allowed = self._baseline[kind] + tolerance
            if count > allowed:
                self.process_record.errors.append(
                    f"{count} entries left in /proc/PID/{kind}, {allowed} allowed"
                )

    def _count_resources(self) -> dict[str, int]:
        """Return the numbers of open descriptors and of threads."""
        directory = Path(f"/proc/{self.process.pid}")
        return {kind: len(list((directory / kind).iterdir())) for kind in ("fd", "task")}

    def close(self) -> None:
        """Kill the process, close the discovery services, and release the port."""
        if self._process and self._process.poll() is None:
            self._process.kill()
            self._process.wait()
        for service in self.discovery_services:
            service.close()
        self._reservation.close()


def errors_in_log(text: str) -> list[str]:
    """Return the lines of a log that have the level error or critical, and those that are not JSON."""
    errors = []
    for line in text.splitlines():
        try:
            entry = json.loads(line)
        except ValueError:
            errors.append(f"log line: {line}")
            continue
        if entry.get("level") in ("error", "critical"):
            errors.append(f"log line: {line}")
    return errors
