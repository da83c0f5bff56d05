"""Case 6: acknowledged writes are lost after a member was killed while it stored a received snapshot."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from wheatstile.store.client import StoreClient

from bench_2 import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Network,
    Processes,
    Record,
    StoreMembers,
    main,
    run_store_command,
    wait_for_store,
    wait_until,
)

FOLDER = Path(__file__).resolve().parent

WRITERS = 16
WRITES = 5_200
"""More than a member applies between two snapshots (5,000 by default)."""
TRIES = 4
KEY = "fleet/limit"


async def statuses(record: Record, members: StoreMembers) -> dict[str, dict[str, object]]:
    """Return the status of each member that answers."""
    _, text = await run_store_command(record, "status", "--json", *members.options())
    return {str(row["name"]): row for row in json.loads(text)}


async def write_values(members: StoreMembers, writer: int, remaining: list[int]) -> None:
    """Write one value after another."""
    client = StoreClient(members.client_ports, timeout_s=20)
    try:
        while remaining:
            await client.put(f"figures/{writer}", b"%d" % remaining.pop())
    finally:
        client.close()


def inode_of(path: Path) -> int:
    """Return the inode of a file, or 0 if it does not exist."""
    return path.stat().st_ino if path.exists() else 0


async def store_snapshot_halfway(
    record: Record, processes: Processes, members: StoreMembers, name: str
) -> bool:
    """Start a member that needs a snapshot, and kill it when it has replaced one of its two files.

    Returns whether it was killed before it replaced the other file, its log.
    """
    folder = processes.folder / name
    log_before, snapshot_before = inode_of(folder / "log"), inode_of(folder / "snapshot")
    members.start_one(name)
    command = [sys.executable, str(FOLDER / "kill_at_snapshot.py")]
    command += [str(members.running[name].pid), str(folder / "snapshot"), str(snapshot_before)]
    killer = processes.start(command, f"killer-{name}", {})
    await wait_until(lambda: killer.poll() is not None, 35, "the member has stored a snapshot")
    members.running[name].wait()
    is_halfway = inode_of(folder / "log") == log_before
    record.write(
        f"member {name} is killed as it stores a snapshot; its log is still the old one: {is_halfway}"
    )
    return is_halfway


async def fall_behind(record: Record, processes: Processes, members: StoreMembers, name: str) -> None:
    """Let a member be down while the others write, and start it; with TROUBLE, it is killed once more."""
    for _ in range(TRIES):
        members.kill(name)
        record.write(f"member {name} is down while {WRITES} values are written")
        remaining = list(range(WRITES))
        await asyncio.gather(*(write_values(members, number, remaining) for number in range(WRITERS)))
        is_done = not TROUBLE or await store_snapshot_halfway(record, processes, members, name)
        members.start_one(name)
        if is_done:
            return
        await asyncio.sleep(3)
    raise CannotRunError("the member was always killed too late")


async def caught_up_leader(record: Record, members: StoreMembers, name: str) -> str:
    """Wait until a member has applied all entries, and return the leader, which is another member."""
    for _ in range(20):
        await asyncio.sleep(1)
        rows = await statuses(record, members)
        applied = {row.get("applied") for row in rows.values()}
        leaders = [member for member, row in rows.items() if row["role"] == "leader"]
        if len(applied) == 1 and len(leaders) == 1 and leaders != [name]:
            return leaders[0]
    raise CannotRunError("the members have not applied the same entries")


async def case(record: Record, processes: Processes) -> int:
    """Kill a member while it stores a snapshot, and look for an acknowledged write after later troubles."""
    members = StoreMembers(processes, "abc")
    network = Network(members)
    await network.start()
    members.reach_peers_at = network.ports_of
    members.start()
    await wait_for_store(record, members)
    await run_store_command(record, "put", KEY, "first", *members.options())
    first_leader = next(
        name for name, row in (await statuses(record, members)).items() if row["role"] == "leader"
    )
    killed = max(name for name in members.client_ports if name != first_leader)
    await fall_behind(record, processes, members, killed)
    leader = await caught_up_leader(record, members, killed)
    other = next(name for name in members.client_ports if name not in (leader, killed))
    record.write(f"member {other} is cut off from the others")
    network.isolate(other)
    await asyncio.sleep(1.5)
    status, _ = await run_store_command(record, "put", KEY, "second", *members.options())
    if status:
        raise CannotRunError("the write was not acknowledged")
    record.write(f"member {killed} is restarted; {other} is back, and {leader} is cut off from the others")
    members.kill(killed)
    network.heal()
    network.isolate(leader)
    members.start_one(killed)
    await asyncio.sleep(5)
    network.heal()
    record.write("all members are back")
    await asyncio.sleep(4)
    values = {}
    for name, port in members.client_ports.items():
        _, text = await run_store_command(record, "get", KEY, "--json", *members.options({name: port}))
        values[name] = json.loads(text)[0]["value"]
    await statuses(record, members)
    if members.ended():
        raise CannotRunError(f"members have ended: {members.ended()}")
    answers = ", ".join(f"{name} {value}" for name, value in values.items())
    record.say(f"the write of `second` was acknowledged; linearizable reads return: {answers}")
    return BROKEN if set(values.values()) != {"second"} else HELD


if __name__ == "__main__":
    main(FOLDER, case)
