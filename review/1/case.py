"""Writes a policy of 64 KiB again and again, restarts the members one after the other, and reads."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

from wheatstile.store.client import StoreClient

from stand_ins import TROUBLE, CouldNotRunError, Programs, Record, play
from store_cluster import NAMES, StoreCluster

POLICY_BYTES = 64 * 1024
POLICY_WRITES = 5_200  # the log is compacted after 5,000 entries
WRITERS = 16
SMALL_KEYS = 20


async def write_all(cluster: StoreCluster) -> dict[str, str]:
    """Write until everything is acknowledged, and return the small keys with their values."""
    clients = [StoreClient(cluster.client, 30) for _ in range(WRITERS)]
    policy = random.Random(1).randbytes(POLICY_BYTES)
    left = iter(range(POLICY_WRITES))

    async def write_policies(client: StoreClient) -> None:
        for number in left:
            result = await client.put("policy/current", b"%08d" % number + policy)
            if not result.ok:
                raise CouldNotRunError(result.reason)

    written: dict[str, str] = {}
    try:
        for number in range(SMALL_KEYS):
            key, value = f"workshop/{number}", f"v{number}"
            written[key] = value
            if not (await clients[0].put(key, value.encode())).ok:
                raise CouldNotRunError("a small key was not written")
        await asyncio.gather(*map(write_policies, clients))
    finally:
        for client in clients:
            client.close()
    return written


async def case(programs: Programs, record: Record, folder: Path) -> str | None:
    cluster = StoreCluster(programs, record, folder)
    await cluster.start_all()
    written = await write_all(cluster)
    record(
        f"acknowledged: {SMALL_KEYS} small keys, {POLICY_WRITES} writes of {POLICY_BYTES} bytes to one key"
    )
    await asyncio.sleep(3)  # every member has applied and compacted its log
    lost_members = []
    if TROUBLE:
        for name in NAMES:
            await cluster.stop(name)
            cluster.start(name)
            if not await cluster.ready(name, 15):
                lost_members.append(name)
    lost_keys = []
    for key, value in written.items():
        if lost_keys:
            break  # one that cannot be read is enough, and each try takes its time
        done = await asyncio.to_thread(
            programs.run, "store", "get", key, *cluster.member_options(), "--within=15"
        )
        if done.returncode != 0 or value not in done.stdout:
            lost_keys.append(key)
    if lost_keys or lost_members:
        return f"members that do not start again: {lost_members}; acknowledged key not readable: {lost_keys}"
    return None


if __name__ == "__main__":
    sys.exit(play(__file__, case))
