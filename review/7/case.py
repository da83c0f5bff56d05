"""Case 7: members of the store disagree on committed keys after one of them was restarted.

`recorded/` holds the directories of three members that ran for almost an hour (see `record.py`), because the
fault shows one hour after its cause, by the store's clock.
"""

from __future__ import annotations

import asyncio
import json
import shutil
import time
from pathlib import Path

from wheatstile.store.client import StoreClient

from bench_2 import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Processes,
    Record,
    StoreMembers,
    main,
    run_store_command,
    wait_for_store,
)

FOLDER = Path(__file__).resolve().parent

NAMES = "abc"
PATTERN = "fleet.*"
RESTARTED = "c"
WRITERS = 16
WRITES = 5_200
"""More than a member applies between two snapshots (5,000 by default)."""
HOUR_MS = 3_600_000
MARGIN_MS = 4_000

Keys = dict[str, tuple[int, str]]


async def write_values(members: StoreMembers, writer: int, remaining: list[int]) -> None:
    """Write one value after another."""
    client = StoreClient(members.client_ports, timeout_s=20)
    try:
        while remaining:
            await client.put(f"figures/{writer}", b"%d" % remaining.pop())
    finally:
        client.close()


async def read_from(members: StoreMembers, name: str) -> Keys:
    """Return the revision and the value of each key, by a linearizable read at one member."""
    client = StoreClient({name: members.client_ports[name]}, timeout_s=10)
    try:
        listing = await client.list_matching(PATTERN)
    finally:
        client.close()
    return {version.key: (version.revision, version.value.decode()) for version in listing.versions}


async def read_from_all(members: StoreMembers) -> dict[str, Keys]:
    """Return the keys as each member returns them; no key is written any more."""
    return {name: await read_from(members, name) for name in NAMES}


async def statuses(record: Record, members: StoreMembers) -> list[dict[str, object]]:
    """Return the status of each member."""
    _, text = await run_store_command(record, "status", "--json", *members.options())
    rows: list[dict[str, object]] = json.loads(text)
    return rows


def last_written_ms(record: Record) -> int:
    """Return when the last of the keys was written, by the store's clock (noted by `record.py`)."""
    noted = json.loads((FOLDER / "recorded" / "written.json").read_text())
    for key, written_ms in sorted(noted.items()):
        record.write(
            f"recorded: {key} was written last at {written_ms} ms of the store's clock, without a ttl"
        )
    return max(noted.values())


async def case(record: Record, processes: Processes) -> int:
    """Start the recorded members, restart one, and compare the committed keys that the members return."""
    for name in NAMES:
        shutil.copytree(FOLDER / "recorded" / name, processes.folder / name)
    last_ms = last_written_ms(record)
    members = StoreMembers(processes, NAMES)
    members.start()
    await wait_for_store(record, members)
    before = await read_from_all(members)
    record.write(f"keys before: { {name: len(keys) for name, keys in before.items()} }")
    if any(before[name] != before["a"] for name in NAMES) or not before["a"]:
        raise CannotRunError("the members do not agree at the start")
    remaining = list(range(WRITES))
    await asyncio.gather(*(write_values(members, number, remaining) for number in range(WRITERS)))
    if not all(row["snapshot"] for row in await statuses(record, members)):
        raise CannotRunError("not every member has written a snapshot")
    if TROUBLE:
        record.write(f"member {RESTARTED}, a third of the members, is killed and started again")
        members.kill(RESTARTED)
        members.start_one(RESTARTED)
        await asyncio.sleep(3)
    end_s = time.monotonic() + 95
    while max(int(str(row["clock_ms"])) for row in await statuses(record, members)) < (
        last_ms + HOUR_MS + MARGIN_MS
    ):
        if time.monotonic() > end_s:
            raise CannotRunError("the hour has not passed in time")
        await asyncio.sleep(3)
    after = await read_from_all(members)
    for name, keys in after.items():
        record.write(f"{name} returns {keys}")
    disagree = any(after[name] != after["a"] for name in NAMES)
    counts = ", ".join(f"{name} {len(keys)}" for name, keys in after.items())
    record.say(f"keys before: {len(before['a'])} at each member; keys returned after the hour: {counts}")
    return BROKEN if disagree else HELD


if __name__ == "__main__":
    main(FOLDER, case)
