"""A store's whole state in one file, and a member's directory made from it or looked into; no process needed.

The file is two records as the log's are (checksums): a `Head`, and the state machine's bytes.
"""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from wheatstile.store.disk import FORMAT, Damaged, Disk, framed, records
from wheatstile.store.machine import Machine, State
from wheatstile.store.raft.messages import Configuration, HardState, Snapshot


class Head(msgspec.Struct, frozen=True):
    format: int
    cluster: str
    revision: int


def write(path: Path, cluster: str, revision: int, data: bytes) -> None:
    """Writes a backup whole or not at all. Raises OSError."""
    temporary = path.with_name(f".{path.name}.new")
    with open(temporary, "wb") as file:
        file.write(framed(Head(FORMAT, cluster, revision)) + framed(data))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)


def read(path: Path) -> tuple[Head, bytes]:
    """Raises `Damaged`, with the offset, and OSError."""
    if not path.exists():
        raise Damaged(f"{path}: not there")
    found = list(records(path))
    if len(found) != 2:
        raise Damaged(f"{path}: offset 0: {len(found)} whole records, two wanted")
    try:
        head = msgspec.msgpack.decode(found[0][1], type=Head)
        data = msgspec.msgpack.decode(found[1][1], type=bytes)
    except msgspec.DecodeError as error:
        raise Damaged(f"{path}: {error}") from error
    if head.format != FORMAT:
        raise Damaged(f"{path}: offset 0: format {head.format}, and this program reads {FORMAT}")
    return head, data


def restore(path: Path, directory: Path, cluster: str, name: str) -> Head:
    """Makes `directory` that of the one voter of a new cluster; others are added to it. Revisions go on
    from the backup's; clients' sessions do not, as what they did since is not known. Raises `Damaged`,
    ValueError."""
    head, data = read(path)
    if cluster == head.cluster:
        raise ValueError(
            f"the backup is of cluster {cluster!r}: a restored one needs another name, or "
            "members of both would take each other for their own"
        )
    if directory.exists() and any(directory.iterdir()):
        raise ValueError(f"{directory} is not empty")
    state = msgspec.structs.replace(msgspec.msgpack.decode(data, type=State), sessions={})
    snapshot = Snapshot(head.revision, 1, Configuration(frozenset({name})), msgspec.msgpack.encode(state))
    disk = Disk(directory, cluster, name)
    disk.compact(snapshot, HardState(1, None, head.revision), [])
    disk.close()
    return head


def inspect(directory: Path) -> dict[str, object]:
    """What a member's directory holds, without changing it. Raises `Damaged`, OSError."""
    found = Disk.look(directory)
    snap, state = found.loaded.snapshot, found.loaded.hard_state or HardState(0, None, 0)
    machine = Machine.load(snap.data if snap else b"")
    entries = found.loaded.entries
    last = entries[-1] if entries else snap
    config = next(
        (e.configuration for e in reversed(entries) if e.configuration), snap.configuration if snap else None
    )
    return {
        "name": found.head.name,
        "cluster": found.head.cluster,
        "format": found.head.format,
        "term": state.term,
        "vote": state.vote or "",
        "commit": state.commit,
        "last": last.index if last else 0,
        "last_term": last.term if last else 0,
        "snapshot": snap.index if snap else 0,
        "snapshot_keys": sum(1 for _ in machine.matching(">")),
        "entries": len(entries),
        "torn_bytes": found.loaded.torn_bytes,
        "voters": sorted(config.voters) if config else [],
        "learners": sorted(config.learners) if config else [],
    }
