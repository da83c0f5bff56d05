"""Records the directories of case 7: runs three members for almost an hour. Usage: record.py FOLDER SECONDS.

It starts the members with the deploy file's command, on the real clock, and injects no fault. Each key is
written with a time to live of 1 s, and without one just after it has expired. Then one value is written every
10 s, so that the store's clock in the log is recent. After SECONDS, the logs are copied to FOLDER.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import sys
import time
from pathlib import Path

from wheatstile.store.client import StoreClient
from wheatstile.store.protocol import Request, RequestKind

from bench_2 import Processes, StoreMembers, temporary_folder

NAMES = "abc"
KEYS = 20
TTL_MS = 1_000
DELAY_AFTER_EXPIRATION_S = 0.006
HEARTBEAT_S = 10


async def write_key(members: StoreMembers, key: str) -> int:
    """Write a key twice, and return the time of the second write by the store's clock."""
    client = StoreClient(members.client_ports, timeout_s=10)
    try:
        await client.put(f"warm/{key}", b"1")  # finds the leader
        started_s = time.monotonic()
        await client.put(key, b"temporary", ttl_ms=TTL_MS)
        due_s = started_s + TTL_MS / 1000 + DELAY_AFTER_EXPIRATION_S
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        await client.put(key, b"permanent")
        reply = await client.request(Request(RequestKind.HISTORY, key=key))
    finally:
        client.close()
    revisions = [version.revision for version in reply.versions]
    print(key, [(version.revision, str(version.change)) for version in reply.versions])
    print(
        "  in one entry with its expiration" if len(set(revisions)) < len(revisions) else "  in its own entry"
    )
    return reply.versions[-1].written_at_ms


async def record(folder: Path, duration_s: float) -> None:
    """Run the members, and copy their logs."""
    started_s = time.monotonic()
    with temporary_folder() as temporary:
        processes = Processes(temporary)
        members = StoreMembers(processes, NAMES)
        members.start()
        await asyncio.sleep(2)
        written_ms = {}
        for number in range(KEYS):
            key = f"fleet/limit-{number}"
            written_ms[key] = await write_key(members, key)
            await asyncio.sleep(0.13)  # the next key meets another part of the tick
        client = StoreClient(members.client_ports, timeout_s=10)
        while time.monotonic() - started_s < duration_s:
            await client.put("heartbeat", b"%d" % time.monotonic())
            await asyncio.sleep(HEARTBEAT_S)
        client.close()
        for name in NAMES:
            (folder / name).mkdir(parents=True, exist_ok=True)
            shutil.copy(temporary / name / "log", folder / name / "log")
        (folder / "written.json").write_text(json.dumps(written_ms, indent=1) + "\n")
        processes.end()


if __name__ == "__main__":
    asyncio.run(record(Path(sys.argv[1]), float(sys.argv[2])))
