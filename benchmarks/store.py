"""Measures the store: `python benchmarks/store.py [--quick]` prints the tables of docs/store.md.

The members are processes on this machine and all clients run in this process, so they share the CPU cores.
The write rate is also given as a ratio to the rate of fsyncs without a store, measured in the same run.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Mapping, Sequence
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "store")]

from process_cluster import ProcessCluster  # noqa: E402

from wheatstile.store.client import StoreClient  # noqa: E402

CLUSTERS = ("a", "abc", "abcde")
"""The members of each measured cluster. Each letter is the name of a member."""
CLIENT_TIMEOUT_S = 60
VALUE_BYTES = 100
FSYNC_BYTES = 256
COMPACT_EVERY = 5000
MAX_DURATION_US = 60_000_000
COLUMNS = (
    "members",
    "clients",
    "",
    "per second",
    "p50 ms",
    "p99 ms",
    "writes per fsync",
    "ratio to fsyncs",
)


@dataclass(frozen=True, slots=True)
class Plan:
    """The duration of each measurement, the numbers of clients, and the number of leader kills."""

    duration_s: float
    client_counts: Sequence[int]
    kills: int


FULL = Plan(duration_s=5.0, client_counts=(1, 16, 256), kills=40)
QUICK = Plan(duration_s=2.0, client_counts=(1, 16, 64), kills=8)


@dataclass(frozen=True, slots=True)
class Throughput:
    """The result of one measurement. `writes_per_fsync` is None for reads, or if there was no fsync."""

    members: int
    clients: int
    is_reading: bool
    rate_per_s: float
    p50_ms: float
    p99_ms: float
    writes_per_fsync: float | None

    def row(self, fsyncs_per_s: float) -> list[str]:
        """Return the cells of `COLUMNS`. The last one is the write rate divided by `fsyncs_per_s`."""
        writes_per_fsync = "" if self.writes_per_fsync is None else f"{self.writes_per_fsync:.1f}"
        return [
            str(self.members),
            str(self.clients),
            "read" if self.is_reading else "write",
            f"{self.rate_per_s:.0f}",
            f"{self.p50_ms:.1f}",
            f"{self.p99_ms:.1f}",
            writes_per_fsync,
            "" if self.is_reading else f"{self.rate_per_s / fsyncs_per_s:.2f}",
        ]


@dataclass(frozen=True, slots=True)
class ClusterResult:
    """The results of one cluster. `elections_s` is empty if elections were not measured."""

    fsyncs_per_s: float
    throughputs: Sequence[Throughput]
    elections_s: Sequence[float]

    def rows(self) -> list[list[str]]:
        """Return the rows of the table."""
        return [throughput.row(self.fsyncs_per_s) for throughput in self.throughputs]


def measure_fsyncs(directory: Path, duration_s: float) -> float:
    """Return the number of appends to one file per second, each followed by an fsync."""
    count = 0
    descriptor = os.open(directory / "probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    started_s = time.perf_counter()
    while time.perf_counter() < started_s + duration_s:
        os.write(descriptor, bytes(FSYNC_BYTES))
        os.fsync(descriptor)
        count += 1
    os.close(descriptor)
    return count / (time.perf_counter() - started_s)


@dataclass
class LoadGenerator:
    """Clients that read or write concurrently. Each uses its own key and sends one request at a time."""

    clients: Sequence[StoreClient]
    is_reading: bool
    times_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_DURATION_US, 3))

    async def run(self, duration_s: float) -> float:
        """Run the clients for `duration_s` and return the requests per second."""
        started_s = time.perf_counter()
        async with asyncio.TaskGroup() as tasks:
            for number, client in enumerate(self.clients):
                tasks.create_task(self._send_requests(client, f"b/{number}", started_s + duration_s))
        return float(self.times_us.get_total_count() / (time.perf_counter() - started_s))

    async def _send_requests(self, client: StoreClient, key: str, end_s: float) -> None:
        while (started_s := time.perf_counter()) < end_s:
            if self.is_reading:
                await client.get(key)
            else:
                await client.put(key, bytes(VALUE_BYTES))
            self.times_us.record_value(int((time.perf_counter() - started_s) * 1e6))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the request latency, in milliseconds."""
        return float(self.times_us.get_value_at_percentile(percentile) / 1000)


async def measure_throughputs(cluster: ProcessCluster, plan: Plan) -> list[Throughput]:
    """Measure writes and reads with each number of clients."""
    leader = await cluster.leader()
    return [
        await measure_throughput(cluster, leader, count, plan.duration_s, is_reading=is_reading)
        for count in plan.client_counts
        for is_reading in (False, True)
    ]


async def measure_throughput(
    cluster: ProcessCluster, leader: str, client_count: int, duration_s: float, *, is_reading: bool
) -> Throughput:
    """Measure writes, or reads from the followers, with this number of clients."""
    ports = follower_ports(cluster, leader) if is_reading else cluster.client_ports
    observed = next(iter(ports)) if is_reading else leader
    clients = [StoreClient(ports, CLIENT_TIMEOUT_S) for _ in range(client_count)]
    # Open the connections before the measurement.
    await asyncio.gather(*(client.get("b/0") for client in clients))
    fsyncs_before = (await clients[0].status(observed)).fsync_count
    generator = LoadGenerator(clients, is_reading)
    rate_per_s = await generator.run(duration_s)
    fsyncs = (await clients[0].status(observed)).fsync_count - fsyncs_before
    for client in clients:
        client.close()
    return Throughput(
        members=len(cluster.processes),
        clients=client_count,
        is_reading=is_reading,
        rate_per_s=rate_per_s,
        p50_ms=generator.percentile_ms(50),
        p99_ms=generator.percentile_ms(99),
        writes_per_fsync=rate_per_s * duration_s / fsyncs if fsyncs and not is_reading else None,
    )


def follower_ports(cluster: ProcessCluster, leader: str) -> Mapping[str, int]:
    """Return the client ports of the followers, or of all members if there is no follower."""
    followers = {
        name: port
        for name, port in cluster.client_ports.items()
        if name != leader and name in cluster.processes
    }
    return followers or cluster.client_ports


async def measure_elections(cluster: ProcessCluster, kills: int) -> list[float]:
    """Kill leaders. Return the sorted times in seconds from each kill to the next acknowledged write."""
    durations_s = []
    for number in range(kills):
        leader = await cluster.leader()
        others = {name: port for name, port in cluster.client_ports.items() if name != leader}
        with closing(StoreClient(others, CLIENT_TIMEOUT_S)) as client:
            await client.get("e")  # opens the connection before the leader is killed
            cluster.kill(leader)
            started_s = time.perf_counter()
            await client.put("e", str(number).encode())
            durations_s.append(time.perf_counter() - started_s)
            cluster.start(leader)
    return sorted(durations_s)


def measure_cluster(names: str, plan: Plan) -> ClusterResult:
    """Start a cluster, measure it, and stop it. Elections are measured on the largest cluster only."""
    with tempfile.TemporaryDirectory(dir=ROOT / "benchmarks") as directory:
        fsyncs_per_s = measure_fsyncs(Path(directory), plan.duration_s / 2)
        known_names = names if len(names) > 1 else "ab"  # `ProcessCluster` needs at least two names
        with closing(
            ProcessCluster(Path(directory), 1, known_names, COMPACT_EVERY, without_fault_proxy=True)
        ) as cluster:
            cluster.start(*names, voters=names)
            throughputs = asyncio.run(measure_throughputs(cluster, plan))
            elections_s: list[float] = []
            if names == CLUSTERS[-1]:
                elections_s = asyncio.run(measure_elections(cluster, plan.kills))
    return ClusterResult(fsyncs_per_s, throughputs, elections_s)


def main() -> None:
    """Run the measurements and print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="shorter measurements")
    plan = QUICK if parser.parse_args().quick else FULL
    results = [measure_cluster(names, plan) for names in CLUSTERS]
    rows = [row for result in results for row in result.rows()]
    print(tabulate(rows, COLUMNS, tablefmt="github", disable_numparse=True))
    largest = results[-1]
    elections_s = largest.elections_s
    print(
        f"\nfsyncs without a store: {largest.fsyncs_per_s:.0f} per second. From leader kill to next write, "
        f"{len(CLUSTERS[-1])} members, {plan.kills} times: median {statistics.median(elections_s):.2f} s, "
        f"p99 {elections_s[int(len(elections_s) * 0.99)]:.2f} s"
    )


if __name__ == "__main__":
    main()
