"""What the cases share: the project's programs as processes, free ports, a temporary folder, the record."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PORTS = range(12_000, 32_000)  # below the kernel's ephemeral ports, so that a restarted process gets its port
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def free_ports(count: int) -> list[int]:
    found: list[int] = []
    for port in random.sample(PORTS, 2_000):
        with suppress(OSError), socket.create_server((HOST, port)):
            found.append(port)
        if len(found) == count:
            return found
    raise CouldNotRunError("too few free ports")


class Record:
    """Writes `record.txt` of one case: a time in seconds and what was sent, answered or run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def __call__(self, text: str) -> None:
        print(f"{time.monotonic() - self._start_s:8.3f} {text}", file=self._file, flush=True)


class Programs:
    """The processes of the project that a case has started. `close` ends all of them."""

    def __init__(self, record: Record, folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        self._run = str(deploy["run"])
        self._record = record
        self._folder = folder
        self._processes: list[subprocess.Popen[str]] = []

    def start(
        self, label: str, *arguments: object, environ: dict[str, str] | None = None, piped: bool = False
    ) -> subprocess.Popen[str]:
        """Start the command `run` of the deploy file with further arguments; its log is LABEL.log."""
        self._record(f"start {label}: run {' '.join(map(str, arguments))}")
        with (self._folder / f"{label}.log").open("a", encoding="utf-8") as log:
            process = subprocess.Popen(
                ["/bin/sh", "-c", self._run + ' "$@"', "sh", *map(str, arguments)],
                cwd=ROOT,
                env=os.environ | {"TMPDIR": str(self._folder)} | (environ or {}),
                stdin=subprocess.PIPE if piped else subprocess.DEVNULL,
                stdout=subprocess.PIPE if piped else log,
                stderr=log,
                text=True,
            )
        self._processes.append(process)
        return process

    def run(self, *arguments: object, timeout_s: float = 30) -> subprocess.CompletedProcess[str]:
        """Run a command of the project to its end."""
        done = subprocess.run(
            ["/bin/sh", "-c", self._run + ' "$@"', "sh", *map(str, arguments)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            timeout=timeout_s,
        )
        shown = (done.stdout.strip()[:200] or done.stderr.strip()[:200]).replace("\n", " | ")
        self._record(f"run {' '.join(map(str, arguments))[:300]} -> exit {done.returncode}: {shown}")
        return done

    def log_of(self, label: str) -> str:
        return (self._folder / f"{label}.log").read_text(encoding="utf-8", errors="replace")

    def close(self) -> None:
        for process in self._processes:
            if process.poll() is None:
                with suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()


Case = Callable[[Programs, Record, Path], Coroutine[Any, Any, str | None]]


def play(case_file: str, case: Case, limit_s: float = 110) -> int:
    """Play a case. It returns how the rule was broken, or None if it held. Returns the exit status."""
    record = Record(Path(case_file).resolve().parent)
    record(f"TROUBLE={int(TROUBLE)}")
    with tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True) as name:
        programs = Programs(record, Path(name))
        try:
            broken = asyncio.run(asyncio.wait_for(case(programs, record, Path(name)), limit_s))
        except Exception as error:  # whatever stops the play, the rule was not judged
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            programs.close()
    record(f"broken: {broken}" if broken else "held")
    print(f"broken: {broken}" if broken else "held")
    return BROKEN if broken else HELD
