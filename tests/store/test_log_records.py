"""`divide_into_records`: groups of entries that are larger than one record."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store import log_records
from wheatstile.store.log_records import divide_into_records
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, HardState

MAX_ENTRIES_BYTES = 2_000
"""The limit in these tests."""
LIST_HEADER_BYTES = 5
CONFIGURATION = Configuration(frozenset("abc"))


@settings(deadline=None)
@given(st.lists(st.integers(0, 3 * MAX_ENTRIES_BYTES // 2), max_size=12), st.integers(1, 2**63 - 1))
def test_records_of_a_group_have_its_entries_in_order_and_are_limited(
    sizes: list[int], first_index: int
) -> None:
    """An entry above the limit has a record of its own. The hard state follows all entries."""
    entries = [
        Entry(2**63 - 1, first_index, EntryKind.CONFIGURATION, bytes(size), CONFIGURATION) for size in sizes
    ]
    hard_state = HardState(2, "a", 1)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log_records, "MAX_ENTRIES_BYTES", MAX_ENTRIES_BYTES)
        records = list(divide_into_records(hard_state, entries))
    assert [entry for record in records for entry in record.entries] == entries
    assert [record.hard_state for record in records[:-1]] == [None] * (len(records) - 1)
    assert records[-1].hard_state == hard_state
    for record in records:
        is_limited = len(msgspec.msgpack.encode(record.entries)) <= MAX_ENTRIES_BYTES + LIST_HEADER_BYTES
        assert is_limited or len(record.entries) == 1
