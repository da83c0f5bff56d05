"""Runs rounds in which one voter of a `ProcessCluster` is replaced while members fail."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from dataclasses import dataclass

from process_cluster import ProcessCluster

from wheatstile.store.client import StoreClient
from wheatstile.store.errors import StoreError

NO_VOTERS = "-"
"""Argument `voters` of `ProcessCluster.start` that names no member.

The started member waits until it is added to the cluster, and connects to all peers.
"""
MAX_TIME_TO_NEXT_WRITE_S = 5.0
"""Maximum time to the next acknowledged write after the faults of a round; stated in docs/store.md."""
MAX_FAULT_DELAY_S = 0.06
"""Maximum time from the start of a membership change to the fault. The change takes some milliseconds, so
the fault occurs before, during or after it.
"""
ISOLATION_S = 1.5
"""Duration of an isolation; longer than any election timeout, so that an isolated leader steps down."""
CHANGE_RETRY_S = 0.1
CHANGE_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Round:
    """One replacement: voters before and after, the fault, and the time to the next acknowledged write."""

    number: int
    voters: str
    target: str
    fault: str
    time_to_next_write_s: float


class MemberReplacement:
    """Replaces voters one after another with members of the cluster that are not voters."""

    def __init__(self, cluster: ProcessCluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng

    async def start(self, voters: str) -> None:
        """Start all members with connections to all peers; this restarts the voters."""
        with closing(self._cluster.client(CHANGE_TIMEOUT_S)) as client:
            for name in self._cluster.names:
                address = str(self._cluster.peer_ports[name]).encode()
                await client.put(f"_members/{name}", address)
            # Writes a configuration to the log. Until then, a member takes the voters from its options.
            await client.change_members(voters, set(self._cluster.names) - set(voters))
            for name in self._cluster.names:
                if name in voters:
                    self._cluster.kill(name)
                self._cluster.start(name, voters=NO_VOTERS)
                await client.put("started", name.encode())

    async def run_round(self, number: int) -> Round:
        """Replace one voter under a fault, and wait until the change is complete and all members run."""
        with closing(self._cluster.client(CHANGE_TIMEOUT_S)) as client:
            leader = await client.find_leader()
            while leader is None:
                leader = await client.find_leader()
            removed = leader.name if self._rng.random() < 0.6 else self._rng.choice(leader.voters)
            added = self._rng.choice(sorted(set(self._cluster.names) - set(leader.voters)))
            target = sorted({*leader.voters, added} - {removed})
            await client.change_members(leader.voters, [added])
            change = asyncio.create_task(change_until_complete(client, target))
            await asyncio.sleep(self._rng.uniform(0.0, MAX_FAULT_DELAY_S))
            fault = self._rng.choice(FAULTS)
            description = await fault(self, leader.name, leader.voters)
            time_to_next_write_s = await self._time_to_next_write()
            self._end_faults()
            await change
        return Round(number, "".join(leader.voters), "".join(target), description, time_to_next_write_s)

    async def kill_leader(self, leader: str, _voters: list[str]) -> str:
        """Kill the leader."""
        self._cluster.kill(leader)
        return f"kill the leader {leader}"

    async def isolate_leader_and_kill_voter(self, leader: str, voters: list[str]) -> str:
        """Isolate the leader until it steps down with entries that only it has, and kill another voter."""
        self._cluster.inject(f"isolate {leader}")
        victim = self._rng.choice([name for name in voters if name != leader])
        self._cluster.kill(victim)
        await asyncio.sleep(ISOLATION_S)
        self._cluster.inject("heal")
        return f"isolate the leader {leader}, kill {victim}"

    async def _time_to_next_write(self) -> float:
        """Return the time until a write that starts now is acknowledged."""
        running = {name: self._cluster.client_ports[name] for name in self._cluster.processes}
        started_s = time.monotonic()
        with closing(StoreClient(running, CHANGE_TIMEOUT_S)) as client:
            await client.put("round", b"")
        return time.monotonic() - started_s

    def _end_faults(self) -> None:
        for name in self._cluster.names:
            if name not in self._cluster.processes:
                self._cluster.start(name, voters=NO_VOTERS)


async def change_until_complete(client: StoreClient, voters: list[str]) -> None:
    """Request the change repeatedly until it is complete. Raises TimeoutError."""
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        while True:
            with suppress(StoreError):  # the leader has changed, or the change is still in progress
                await client.change_members(voters)
                return
            await asyncio.sleep(CHANGE_RETRY_S)


Fault = Callable[[MemberReplacement, str, list[str]], Awaitable[str]]

FAULTS: tuple[Fault, ...] = (
    MemberReplacement.kill_leader,
    MemberReplacement.isolate_leader_and_kill_voter,
)
