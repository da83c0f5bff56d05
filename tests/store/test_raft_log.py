"""`RaftLog`: contiguous entries, compaction, truncation, batches and installed snapshots."""

from __future__ import annotations

import pytest
from raft_nodes import make_node

from wheatstile.store.framing import MAX_REQUEST_BYTES, encode_frame
from wheatstile.store.raft.log import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, RaftLog
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, Message, MessageKind, Snapshot


def test_a_log_with_a_gap_is_rejected() -> None:
    with pytest.raises(ValueError, match="index 5, not 1"):
        make_node(entries=[Entry(1, 5, EntryKind.NOOP)])


def make_log(count: int, data: bytes = b"") -> RaftLog:
    """Return a log of `count` committed entries of term 1. Entry 2 changes the configuration."""
    entries = [Entry(1, index, EntryKind.DATA, data) for index in range(1, count + 1)]
    if count > 1:
        entries[1] = Entry(1, 2, EntryKind.CONFIGURATION, configuration=Configuration(frozenset("abcd")))
    return RaftLog(Snapshot(0, 0, Configuration(frozenset("abc")), b""), entries, commit_index=count)


def test_compaction_replaces_the_applied_entries_and_keeps_the_configuration() -> None:
    log = make_log(5)
    log.take_committed()
    log.append([Entry(1, 6, EntryKind.DATA)])
    log.compact(b"state")
    assert log.snapshot == Snapshot(5, 1, Configuration(frozenset("abcd")), b"state")
    assert [entry.index for entry in log.entries] == [6]
    assert (log.term_at(4), log.term_at(5), log.term_at(6), log.term_at(7)) == (None, 1, 1, None)


def test_truncation_restores_the_previous_configuration() -> None:
    log = make_log(3)
    log.truncate_from(2)
    assert log.last_index == 1
    assert log.configuration == Configuration(frozenset("abc"))


def test_a_batch_is_limited_in_entries_and_in_bytes() -> None:
    assert len(make_log(2 * MAX_BATCH_ENTRIES).batch_from(1)) == MAX_BATCH_ENTRIES
    assert len(make_log(9, bytes(MAX_BATCH_BYTES // 2)).batch_from(3)) == 2


def test_a_batch_of_large_configurations_fits_into_a_frame() -> None:
    """Guards against an append that the recipient rejects each time it is sent."""
    learners = frozenset(f"{number}{'x' * 100_000}" for number in range(MAX_REQUEST_BYTES // 100_010))
    configuration = Configuration(frozenset("a"), learners=learners)
    entries = [Entry(1, index, EntryKind.CONFIGURATION, b"", configuration) for index in range(1, 9)]
    log = RaftLog(Snapshot(0, 0, configuration, b""), entries)
    encode_frame(Message(MessageKind.APPEND, "a", "b", 1, entries=log.batch_from(1)))  # may raise an error


@pytest.mark.parametrize(("term", "remaining"), [(1, [4, 5]), (2, [])])
def test_an_installed_snapshot_keeps_later_entries_only_if_the_log_matches_it(
    term: int, remaining: list[int]
) -> None:
    log = make_log(5)
    log.install(Snapshot(3, term, Configuration(frozenset("abc")), b"state"))
    assert [entry.index for entry in log.entries] == remaining
    assert (log.commit_index, log.applied_index) == (3, 3)
