"""Reads counters at one member, which is cut off again and again for a moment, while others count them up."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import permutations
from pathlib import Path

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import StoreError

from stand_ins import TROUBLE, Programs, Record, free_ports, play
from store_cluster import NAMES, StoreCluster

SEED = 7
COMPACT_EVERY = 20
PLAY_S = 60
CUT_OFF_S = 0.02
CONNECTED_S = 0.3  # a member connects again 0.1 s after a reset
COUNTERS = 8
READ_AT = "c"
READERS = 60
MAX_PAUSE_S = 0.03  # of a reader between two reads
READ_TIMEOUT_S = 0.5


@dataclass
class Counters:
    """What was acknowledged and what was read. Each counter has one writer, which adds 1 with each write."""

    record: Record
    acknowledged: list[int] = field(default_factory=lambda: [0] * COUNTERS)
    writes: int = 0
    reads: int = 0
    stale: list[tuple[int, int]] = field(default_factory=list)  # acknowledged before the read, and returned

    async def write(self, client: StoreClient, number: int) -> None:
        value = 0
        while True:
            value += 1
            with suppress(StoreError):  # it is unknown whether it was written: it counts as not acknowledged
                result = await client.put(f"counter/{number}", str(value).encode())
                if result.ok:
                    self.acknowledged[number] = value
                    self.writes += 1
                    self.record(f"acknowledged {number}={value} at revision {result.revision}")

    async def read(self, client: StoreClient, rng: random.Random) -> None:
        while True:
            await asyncio.sleep(rng.random() * MAX_PAUSE_S)
            number = rng.randrange(COUNTERS)
            acknowledged = self.acknowledged[number]
            sent_s = time.monotonic()
            with suppress(StoreError):  # no answer is no fault here
                version = await client.get(f"counter/{number}")
                returned = int(version.value) if version else 0
                self.reads += 1
                took_ms = round(1000 * (time.monotonic() - sent_s))
                self.record(
                    f"read {number} sent after {acknowledged} was acknowledged: {returned}, {took_ms} ms"
                )
                if returned < acknowledged:
                    self.stale.append((acknowledged, returned))
                    self.record(f"STALE by {acknowledged - returned} acknowledged writes")


async def cut_off_repeatedly(links: subprocess.Popen[str]) -> None:
    """Cut the member off from the other two for a moment, again and again."""
    assert links.stdin
    while True:
        for command, pause_s in (("cut", CUT_OFF_S), ("heal", CONNECTED_S)):
            if TROUBLE:
                links.stdin.write(f"{command}\n")
                links.stdin.flush()
            await asyncio.sleep(pause_s)


def start_links(cluster: StoreCluster) -> subprocess.Popen[str]:
    """Start the proxy on the connections between this member and the others."""
    pairs = [pair for pair in permutations(NAMES, 2) if READ_AT in pair]
    cluster.link = dict(zip(pairs, free_ports(len(pairs)), strict=True))
    routes = [f"{port}:{cluster.peer[other]}" for (_, other), port in cluster.link.items()]
    program = Path(__file__).resolve().parent / "links.py"
    return subprocess.Popen([sys.executable, str(program), *routes], stdin=subprocess.PIPE, text=True)


async def play_on(cluster: StoreCluster, links: subprocess.Popen[str], counters: Counters) -> None:
    rng = random.Random(SEED)
    writers = [StoreClient(cluster.client) for _ in range(COUNTERS)]
    readers = [StoreClient({READ_AT: cluster.client[READ_AT]}, READ_TIMEOUT_S) for _ in range(READERS)]
    work = [counters.write(client, number) for number, client in enumerate(writers)]
    work += [counters.read(client, rng) for client in readers]
    tasks = [asyncio.create_task(coroutine) for coroutine in [*work, cut_off_repeatedly(links)]]
    await asyncio.wait(tasks, timeout=PLAY_S, return_when=asyncio.FIRST_EXCEPTION)
    for task in tasks:
        task.cancel()
    for failure in await asyncio.gather(*tasks, return_exceptions=True):
        if not isinstance(failure, asyncio.CancelledError):
            raise RuntimeError("a stand-in failed") from failure
    for client in [*writers, *readers]:
        client.close()


async def case(programs: Programs, record: Record, folder: Path) -> str | None:
    cluster = StoreCluster(programs, record, folder, f"--compact-every={COMPACT_EVERY}")
    links = start_links(cluster)
    counters = Counters(record)
    try:
        await asyncio.sleep(1)
        await cluster.start_all()
        await play_on(cluster, links, counters)
    finally:
        links.kill()
        links.wait()
    stale, reads = counters.stale, counters.reads
    record(f"{counters.writes} writes and {reads} reads were answered; stale reads: {len(stale)}")
    if stale:
        worst = max(stale, key=lambda pair: pair[0] - pair[1])
        return f"{len(stale)} of {reads} reads missed acknowledged writes, such as {worst}"
    return None


if __name__ == "__main__":
    sys.exit(play(__file__, case))
