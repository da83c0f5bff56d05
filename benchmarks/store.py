"""What the store bears: `python benchmarks/store.py [--quick]` prints the tables of docs/store.md.

Members are processes of the program on this machine, clients connections of one process of ours, so that all
share its cores; writes stand as a ratio to the fsyncs that the same folder does alone in the same run.
"""

import argparse
import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram
from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "store")]

from process_cluster import ProcessCluster  # noqa: E402

from wheatstile.store.client import StoreClient  # noqa: E402


def fsyncs(folder: Path, seconds: float) -> float:
    """Appends of 256 bytes, each synced, a second."""
    count, end = 0, time.perf_counter() + seconds
    descriptor = os.open(folder / "probe", os.O_WRONLY | os.O_CREAT | os.O_APPEND)
    begin = time.perf_counter()
    while time.perf_counter() < end:
        os.write(descriptor, bytes(256))
        os.fsync(descriptor)
        count += 1
    os.close(descriptor)
    return count / (time.perf_counter() - begin)


async def load(clients: list[StoreClient], seconds: float, read: bool) -> tuple[float, HdrHistogram]:
    """Requests a second, and their times in microseconds."""
    times, end = HdrHistogram(1, 60_000_000, 3), time.perf_counter() + seconds

    async def use(number: int, client: StoreClient) -> None:
        while (begin := time.perf_counter()) < end:
            if read:
                await client.get(f"b/{number}")
            else:
                await client.put(f"b/{number}", bytes(100))
            times.record_value(int((time.perf_counter() - begin) * 1e6))

    begin = time.perf_counter()
    await asyncio.gather(*(use(n, c) for n, c in enumerate(clients)))
    return times.get_total_count() / (time.perf_counter() - begin), times


async def throughput(cluster: ProcessCluster, counts: tuple[int, ...], seconds: float) -> list[list[str]]:
    rows = []
    leader = await cluster.leader()
    for count in counts:
        for read in (False, True):
            ports = cluster.client_ports
            if read:  # on followers, where there are any
                ports = {n: p for n, p in ports.items() if n != leader and n in cluster.processes} or ports
            clients = [StoreClient(ports, 60) for _ in range(count)]
            await asyncio.gather(*(c.get("b/0") for c in clients))
            syncs = (await clients[0].status(leader if not read else next(iter(ports)))).fsync_count
            rate, times = await load(clients, seconds, read)
            syncs = (await clients[0].status(leader if not read else next(iter(ports)))).fsync_count - syncs
            p50, p99 = (times.get_value_at_percentile(p) / 1000 for p in (50, 99))
            per = f"{rate * seconds / syncs:.1f}" if syncs and not read else ""
            rows.append(
                [
                    str(len(cluster.processes)),
                    str(count),
                    "read" if read else "write",
                    f"{rate:.0f}",
                    f"{p50:.1f}",
                    f"{p99:.1f}",
                    per,
                ]
            )
            for client in clients:
                client.close()
    return rows


async def elections(cluster: ProcessCluster, times: int) -> list[float]:
    """Seconds from SIGKILL of the leader to the next write that is acknowledged."""
    taken = []
    for number in range(times):
        leader = await cluster.leader()
        client = StoreClient({n: p for n, p in cluster.client_ports.items() if n != leader}, 60)
        await client.get("e")  # its connection stands
        cluster.kill(leader)
        begin = time.perf_counter()
        await client.put("e", str(number).encode())
        taken.append(time.perf_counter() - begin)
        cluster.start(leader)
        client.close()
    return taken


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="shorter")
    quick = parser.parse_args().quick
    seconds, counts, kills = (2.0, (1, 16, 64), 8) if quick else (5.0, (1, 16, 256), 40)
    rows, base = [], 0.0
    for names in ("a", "abc", "abcde"):
        with tempfile.TemporaryDirectory(dir=ROOT / "benchmarks") as folder:
            base = fsyncs(Path(folder), seconds / 2)
            cluster = ProcessCluster(Path(folder), 1, names if len(names) > 1 else "ab", 5000, direct=True)
            try:
                cluster.start(*names, voters=names)
                made = asyncio.run(throughput(cluster, counts, seconds))
                rows += [[*row, f"{float(row[3]) / base:.2f}" if row[2] == "write" else ""] for row in made]
                if names == "abcde":
                    taken = sorted(asyncio.run(elections(cluster, kills)))
            finally:
                cluster.close()
    head = ["members", "clients", "", "a second", "p50 ms", "p99 ms", "an fsync", "of this disk's rate"]
    print(tabulate(rows, head, tablefmt="github", disable_numparse=True))
    print(
        f"\nfsyncs alone: {base:.0f} a second. Leader killed to next write, 5 members, {kills} times: "
        f"median {statistics.median(taken):.2f} s, p99 {taken[int(len(taken) * 0.99)]:.2f} s"
    )


if __name__ == "__main__":
    main()
