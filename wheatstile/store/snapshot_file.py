"""Reads and writes the file of a Raft snapshot."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec

from wheatstile.store.data_parts import StoredData, load_data, parts_of, store_data
from wheatstile.store.errors import CorruptStorageError
from wheatstile.store.raft.messages import Configuration, Snapshot
from wheatstile.store.record_file import read_records


class StoredSnapshot(msgspec.Struct, frozen=True):
    """The first record of the file. It is a `Snapshot` whose data may be in the next records."""

    index: int
    term: int
    configuration: Configuration = msgspec.field(name="config")
    data: StoredData


def snapshot_records(snapshot: Snapshot) -> Iterator[object]:
    """Yield the values of the file's records."""
    yield StoredSnapshot(snapshot.index, snapshot.term, snapshot.configuration, store_data(snapshot.data))
    yield from parts_of(snapshot.data)


def read_snapshot(path: Path) -> Snapshot | None:
    """Return the snapshot in a file, or None if the file does not exist. Raises `CorruptStorageError`."""
    if not path.exists():
        return None
    records = read_records(path)
    first = next(records, None)
    if first is None:
        raise CorruptStorageError(str(path), 0, "the record is incomplete")
    stored = first.decode(StoredSnapshot)
    data = load_data(str(path), stored.data, records)
    return Snapshot(stored.index, stored.term, stored.configuration, data)
