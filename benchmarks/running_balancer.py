"""Measures a running balancer: memory, CPU time, and the latency of its event loop."""

import json
import os
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

from support.balancer import Balancer  # noqa: E402

MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PING_PAUSE_S = 0.001
UPDATE_DISPATCHED = "endpoint_update_dispatched"
"""The event that is logged when an endpoint list has been dispatched to the decision module."""
PERCENTILES = (50.0, 99.0, 100.0)

JsonObject = dict[str, Any]
"""A JSON object, e.g. the content of an operator's file or of an endpoint file."""


class Durations:
    """A histogram of durations."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return int(self._histogram.total_count)

    def record_since(self, started_ns: int) -> None:
        """Record the time since `started_ns`, a time of the monotonic clock."""
        self._histogram.record_value(max(1, (time.monotonic_ns() - started_ns) // 1000))

    def percentile_ms(self, percentile: float) -> str:
        """Return a percentile in milliseconds as text. The percentile 100 is the maximum."""
        return f"{self._histogram.get_value_at_percentile(percentile) / 1000:.1f}"

    def summary_ms(self) -> list[str]:
        """Return the median, the 99th percentile and the maximum in milliseconds, as text."""
        return [self.percentile_ms(percentile) for percentile in PERCENTILES]


class MeasuredBalancer(Balancer):
    """A balancer with an operator's file, used as a context manager.

    Entering the context starts the balancer with an empty endpoint list, and leaving it stops the balancer.
    """

    def __init__(self, operator_settings: JsonObject, servers_file: bytes = b"") -> None:
        """Write the operator's file, and `servers_file` to `servers.json` in the same directory."""
        super().__init__({})
        directory = Path(self.temporary_directory.name)
        self.servers_file = directory / "servers.json"
        self.servers_file.write_bytes(servers_file)
        operator_file = directory / "operator.json"
        operator_file.write_text(json.dumps(operator_settings))
        self.arguments = ("serve", "--file", str(operator_file), "--log-level", "debug")

    def __enter__(self) -> "MeasuredBalancer":
        self.start([])
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def resident_kb(self) -> int:
        """Return the resident set size, in kB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))

    def cpu_time_s(self) -> float:
        """Return the user and system CPU time so far, in seconds (fields 14 and 15 of stat, see proc(5))."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        user_ticks, system_ticks = (int(field) for field in fields[11:13])
        return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")


class PingLoop(threading.Thread):
    """A thread that sends PING on one connection. A late answer shows that the event loop was blocked.

    The constructor connects and starts the thread. `stop` ends the thread and closes the connection.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        super().__init__(daemon=True)
        self._durations = Durations()
        self._ended = threading.Event()
        self._sock = socket.create_connection(address)
        self.start()

    def run(self) -> None:
        """Send PING and record the time to each answer, until `stop` is called."""
        while not self._ended.wait(PING_PAUSE_S):
            started_ns = time.monotonic_ns()
            self._sock.sendall(b"PING\r\n")
            self._sock.recv(16)
            self._durations.record_since(started_ns)

    def stop(self) -> Durations:
        """End the thread, close the connection, and return the recorded times."""
        self._ended.set()
        self.join()
        self._sock.close()
        return self._durations
