"""Runs the balancer as a process: start and end, signals, log and counters."""

import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import IO, Any

from support.peer import POLL_INTERVAL_S, TIMEOUT_S

ROOT = Path(__file__).parent.parent.parent


class BalancerProcess:
    """A balancer process with a platform configuration file. `launch` starts it, and `stop` ends it.

    Attributes:
        path: the platform configuration file.
        arguments: the arguments of the command line.
        max_file_bytes: the limit on the size of any file that the process writes.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.arguments: tuple[str, ...] = ()
        self.max_file_bytes = resource.RLIM_INFINITY
        self._process: subprocess.Popen[str] | None = None

    @property
    def process(self) -> subprocess.Popen[str]:
        """The process. It must have been started."""
        assert self._process, "the balancer is not started"
        return self._process

    @process.setter
    def process(self, process: subprocess.Popen[str]) -> None:
        """Use a process that the test has started itself. `stop` ends it."""
        self._process = process

    def launch(self, files: int = 1024, stderr: int | IO[bytes] = subprocess.PIPE, **variables: str) -> None:
        """Start the process with the existing configuration file, without waiting until it serves.

        Args:
            files: the limit on open files.
            stderr: the destination of the log. `wait_for_event` and `counters` need the default.
            variables: additional environment variables.
        """
        environ = {key: value for key, value in os.environ.items() if not key.startswith("RELAY_")}
        self._process = subprocess.Popen(
            [sys.executable, "-m", "wheatstile", *self.arguments],
            cwd=ROOT,
            env=environ | {"RELAY_CONFIG": str(self.path)} | variables,
            stderr=stderr,
            text=True,
            preexec_fn=lambda: self._limit_resources(files),
        )

    def _limit_resources(self, files: int) -> None:
        """Set the limits of the child process before it executes the program."""
        resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
        resource.setrlimit(resource.RLIMIT_FSIZE, (self.max_file_bytes, self.max_file_bytes))

    @contextmanager
    def paused(self) -> Iterator[None]:
        """Pause the process by SIGSTOP, and resume it by SIGCONT at the end of the block.

        The resumed process finds all events of the block ready at the same time.
        """
        self.process.send_signal(signal.SIGSTOP)
        deadline_s = time.monotonic() + TIMEOUT_S
        while self._state() != "T":
            assert time.monotonic() < deadline_s, "SIGSTOP did not stop the process"
            time.sleep(POLL_INTERVAL_S)
        yield
        self.process.send_signal(signal.SIGCONT)

    def _state(self) -> str:
        """Return the letter that proc(5) defines for the state of the process."""
        status = Path(f"/proc/{self.process.pid}/stat").read_text()
        return status.rpartition(")")[2].split()[0]

    def terminate(self) -> None:
        """Send SIGTERM, without waiting for the process to end."""
        self.process.send_signal(signal.SIGTERM)

    def begin_shutdown(self) -> None:
        """Send SIGTERM, and return once the balancer's schedule for the shutdown has begun.

        The balancer logs `shutdown_started` just before the schedule begins, and reports its counters from
        the event loop only after that. If a test paused the balancer between the two, the whole shutdown
        would run after the pause.
        """
        self.terminate()
        self.wait_for_event("shutdown_started")
        self.counters()

    def wait(self) -> int:
        """Wait until the process ends, and return its exit status."""
        return self.process.wait(TIMEOUT_S)

    def stop(self) -> str:
        """Kill the process if it still runs, and return the part of its log that has not been read."""
        if self._process is None:
            return ""
        self._process.kill()
        _, errors = self._process.communicate()
        self._process = None
        return errors

    def wait_for_event(self, *events: str) -> dict[str, Any]:
        """Wait for a log entry with one of these events, and return it. Earlier entries are dropped."""
        assert self.process.stderr
        watchdog = threading.Timer(TIMEOUT_S, self.process.kill)  # ends the log, and with it the wait
        watchdog.start()
        try:
            while True:
                line = self.process.stderr.readline()
                assert line, f"the log ended without {events}"
                entry: dict[str, Any] = json.loads(line)
                if entry["event"] in events:
                    return entry
        finally:
            watchdog.cancel()

    def counters(self) -> dict[str, int]:
        """Send SIGUSR1, and return the counters that the process logs. Earlier log entries are dropped."""
        self.process.send_signal(signal.SIGUSR1)
        return self.wait_for_event("counters_reported")

    def wait_for_counter(self, name: str, minimum: int) -> dict[str, int]:
        """Wait until this counter has at least this value, and return all counters."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while (counters := self.counters()).get(name, 0) < minimum:
            assert time.monotonic() < deadline_s, f"{name} stayed below {minimum}: {counters}"
        return counters
