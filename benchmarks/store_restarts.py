"""Kills members of the store while they store a received snapshot: `python benchmarks/store_restarts.py`.

The members are processes. In each round, one is down for more writes than the others keep in their logs. It
is killed when one of its files changes, and started again. Then first one and then the other of the remaining
members is isolated, so that writes need the killed member, which is restarted in between. In the end each
member has to return every acknowledged write.
"""

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
from contextlib import closing
from pathlib import Path

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "store")]

from process_cluster import ProcessCluster, check_member_output, run_scenario  # noqa: E402

from wheatstile.store.client import StoreClient  # noqa: E402

COMPACT_EVERY = 40
WRITES_WHILE_DOWN = 3 * COMPACT_EVERY
WRITES_WHILE_ISOLATED = 10
WRITERS = 4
WATCHED_FILES = ("snapshot", ".log.new", ".snapshot.new", "log")
"""The files of a member, one of which changes when it is killed; the rounds take them in turn."""
WATCH_TIMEOUT_S = 5.0
CLIENT_TIMEOUT_S = 30.0
NO_INODE = 0


class LostWriteError(AssertionError):
    """A member does not return an acknowledged write."""


class RestartRounds:
    """Runs rounds on one cluster of three members, and keeps the acknowledged values."""

    def __init__(self, cluster: ProcessCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng
        self._acknowledged: dict[str, bytes] = {}
        self._written = 0
        self._watched_files = itertools.cycle(WATCHED_FILES)

    async def run(self) -> str:
        """Run one round, and return a description of its fault. Raises `LostWriteError`."""
        cluster = self._cluster
        leader = await cluster.leader()
        victim, other = self._rng.sample([name for name in cluster.names if name != leader], 2)
        cluster.kill(victim)
        await self._write(WRITES_WHILE_DOWN)
        file_name = next(self._watched_files)
        was_changed = await self._kill_when_file_changes(victim, file_name)
        cluster.start(victim)
        await self._read_all(victim)
        cluster.kill(victim)
        for isolated in (other, leader):
            cluster.inject("heal")
            cluster.inject(f"isolate {isolated}")
            cluster.start(victim)
            await self._write(WRITES_WHILE_ISOLATED)
            cluster.kill(victim)
        cluster.inject("heal")
        cluster.start(victim)
        for name in cluster.names:
            await self._read_all(name)
        moment = "as it changed" if was_changed else f"without a change in {WATCH_TIMEOUT_S:g} s"
        return f"{victim} killed, {file_name} {moment}"

    async def _kill_when_file_changes(self, victim: str, file_name: str) -> bool:
        """Start the victim, let the leader reach it, and kill it. Return whether the file has changed."""
        cluster = self._cluster
        path = cluster.root / victim / file_name
        before = inode_of(path)
        cluster.inject(f"isolate {victim}")
        cluster.start(victim)
        cluster.inject("heal")
        deadline_s = asyncio.get_running_loop().time() + WATCH_TIMEOUT_S
        while inode_of(path) in (before, NO_INODE) and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(0)
        is_changed = asyncio.get_running_loop().time() < deadline_s
        cluster.kill(victim)
        return is_changed

    async def _write(self, count: int) -> None:
        """Write values with several clients, and keep those that are acknowledged."""
        remaining = list(range(self._written, self._written + count))
        self._written += count
        await asyncio.gather(*(self._write_values(f"k/{writer}", remaining) for writer in range(WRITERS)))

    async def _write_values(self, key: str, remaining: list[int]) -> None:
        with closing(self._cluster.client(CLIENT_TIMEOUT_S)) as client:
            while remaining:
                value = b"%d" % remaining.pop()
                await client.put(key, value)
                self._acknowledged[key] = value

    async def _read_all(self, name: str) -> None:
        """Compare a linearizable read at one member with the acknowledged values. Raises `LostWriteError`."""
        ports = {name: self._cluster.client_ports[name]}
        with closing(StoreClient(ports, CLIENT_TIMEOUT_S)) as client:
            listing = await client.list_matching("k/>")
        values = {version.key: version.value for version in listing.versions}
        if values != self._acknowledged:
            raise LostWriteError(f"{name} returns {values}, acknowledged: {self._acknowledged}")


def inode_of(path: Path) -> int:
    """Return the inode of a file, or `NO_INODE` if it does not exist."""
    try:
        return path.stat().st_ino
    except FileNotFoundError:
        return NO_INODE


def run_rounds(rounds: int, seed: int) -> list[str]:
    """Run the rounds on one cluster, check the histories of its members, and return the descriptions."""
    faults: list[str] = []

    async def scenario(cluster: ProcessCluster) -> None:
        restarts = RestartRounds(cluster, random.Random(seed))
        while len(faults) < rounds:
            faults.append(await restarts.run())

    with tempfile.TemporaryDirectory() as directory:
        cluster = ProcessCluster(Path(directory), seed, "abc", COMPACT_EVERY)
        check_member_output(run_scenario(cluster, scenario))
    return faults


def main() -> int:
    """Run the rounds, and print their faults. A lost write ends the program with a traceback."""
    parser = argparse.ArgumentParser(description="Kills members of the store while they store a snapshot.")
    parser.add_argument("--rounds", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    faults = run_rounds(options.rounds, options.seed)
    print("\n".join(faults))
    print(f"{len(faults)} rounds, no acknowledged write was lost")
    return 0


if __name__ == "__main__":
    sys.exit(main())
