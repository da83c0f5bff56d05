"""Watches all keys from a machine that is cut off for a few seconds, while the keys are written on."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

from wheatstile.store.client import StoreClient

from stand_ins import TROUBLE, CouldNotRunError, Programs, Record, free_ports, play
from store_cluster import NAMES, StoreCluster

SEED = 3
POLICY_BYTES = 80_000  # the limit of a value is 1 MiB
POLICY_WRITES = 300
POLICIES = 7
WATCHER = "watcher"
CUT_OFF_S = 6  # after the last write
WAIT_S = 50  # after the end of the fault


def start_links(programs: Programs, cluster: StoreCluster) -> tuple[subprocess.Popen[str], list[str]]:
    """Start the fault proxy between the watch and the members. Return it, and the options of the watch."""
    ports = dict(zip(NAMES, free_ports(len(NAMES)), strict=True))
    routes = [f"{WATCHER}:{name}:{port}:{cluster.client[name]}" for name, port in ports.items()]
    options = [f"--member={name}={port}" for name, port in ports.items()]
    return programs.start("links", "fault-proxy", *routes, piped=True), options


def command(links: subprocess.Popen[str], text: str, record: Record) -> None:
    assert links.stdin
    links.stdin.write(f"{text}\n")
    links.stdin.flush()
    record(f"fault proxy: {text}")


def printed_revisions(log: str) -> list[int]:
    """Return the revisions of the changes that the watch has printed, in order."""
    revisions = []
    for line in log.splitlines():
        with suppress(ValueError):  # a line that is not complete yet
            revisions.append(json.loads(line)["revision"])
    return revisions


async def write_policies(client: StoreClient, record: Record) -> list[int]:
    """Write the policies in turn. Return the revisions of the acknowledged writes."""
    rng = random.Random(SEED)
    revisions = []
    for number in range(POLICY_WRITES):
        value = rng.randbytes(POLICY_BYTES // 2).hex().encode()
        result = await client.put(f"policy/{number % POLICIES}", value)
        if not result.ok:
            raise CouldNotRunError(result.reason)
        revisions.append(result.revision)
        record(f"acknowledged policy/{number % POLICIES}, {POLICY_BYTES} bytes, revision {result.revision}")
    return revisions


async def case(programs: Programs, record: Record, folder: Path) -> str | None:
    cluster = StoreCluster(programs, record, folder)
    links, options = start_links(programs, cluster)
    await asyncio.sleep(1)
    await cluster.start_all()
    client = StoreClient(cluster.client, 20)
    try:
        first = await client.put("policy/0", b"first")
        programs.start("watch", "store", "watch", ">", f"--after={first.revision - 1}", "--json", *options)
        await asyncio.sleep(3)
        if not printed_revisions(programs.log_of("watch")):
            raise CouldNotRunError("the watch has not printed the first change")
        if TROUBLE:
            command(links, f"isolate {WATCHER}", record)
        expected = [first.revision, *await write_policies(client, record)]
    finally:
        client.close()
    if TROUBLE:
        await asyncio.sleep(CUT_OFF_S)
        command(links, "heal", record)
    deadline_s = time.monotonic() + WAIT_S
    while (seen := printed_revisions(programs.log_of("watch"))) != expected and time.monotonic() < deadline_s:
        await asyncio.sleep(1)
    record(f"the watch printed the revisions {seen}")
    if seen != expected:
        return (
            f"the watch printed {len(seen)} of {len(expected)} changes, {WAIT_S} s after the end of the fault"
        )
    return None


if __name__ == "__main__":
    sys.exit(play(__file__, case))
