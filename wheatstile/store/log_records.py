"""The records of a member's log after its header, with the hard state and the entries of each `Ready`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from wheatstile.store.raft.messages import Entry, HardState

MAX_ENTRIES_BYTES = 16 * 1024 * 1024
"""Maximum size of the entries in one record. An entry that is larger has a record of its own."""


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """The hard state and the entries of one `Ready`, or a part of its entries."""

    hard_state: HardState | None
    entries: list[Entry]


def divide_into_records(hard_state: HardState | None, entries: Iterable[Entry]) -> Iterator[LogRecord]:
    """Yield the records for the hard state and the entries of one `Ready`; usually there is one.

    The hard state is in the last record. A crash before it is written leaves the earlier hard state, whose
    commit index does not include a replaced entry.
    """
    batch: list[Entry] = []
    batch_bytes = 0
    for entry in entries:
        entry_bytes = entry.max_encoded_bytes
        if batch and batch_bytes + entry_bytes > MAX_ENTRIES_BYTES:
            yield LogRecord(None, batch)
            batch = []
            batch_bytes = 0
        batch.append(entry)
        batch_bytes += entry_bytes
    yield LogRecord(hard_state, batch)
