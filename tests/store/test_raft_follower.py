"""The follower's side of replication: appends and snapshots."""

from __future__ import annotations

from raft_nodes import make_node

from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    MessageKind,
    Snapshot,
)

LOG = [Entry(1, 1, EntryKind.DATA, b"1"), Entry(1, 2, EntryKind.DATA, b"2")]


def test_a_conflicting_entry_and_all_after_it_are_replaced() -> None:
    node = make_node(hard_state=HardState(1, None, 0), entries=LOG)
    replacement = Entry(2, 2, EntryKind.DATA, b"other")
    node.step(Message(MessageKind.APPEND, "b", "a", 2, index=1, log_term=1, entries=(replacement,)))
    ready = node.ready()
    assert node.log.entries == [LOG[0], replacement]
    assert ready.entries == [replacement]
    assert ready.messages[0].granted


def test_an_append_that_leaves_a_gap_is_rejected_with_the_index_to_resume_from() -> None:
    node = make_node(hard_state=HardState(1, None, 0), entries=LOG)
    node.step(Message(MessageKind.APPEND, "b", "a", 1, index=5, log_term=1))
    (reply,) = node.ready().messages
    assert (reply.granted, reply.index, reply.resume_from) == (False, 5, 2)


def test_a_snapshot_is_installed_when_its_last_chunk_has_arrived() -> None:
    node = make_node()
    for offset, data in ((0, b"ab"), (2, b"c")):
        chunk = Snapshot(7, 3, Configuration(frozenset("abc")), data)
        node.step(
            Message(
                MessageKind.SNAPSHOT, "b", "a", 3, snapshot=chunk, snapshot_offset=offset, snapshot_size=3
            )
        )
    ready = node.ready()
    assert ready.snapshot
    assert ready.snapshot.data == b"abc"
    assert node.log.commit_index == 7
    assert [(reply.granted, reply.resume_from) for reply in ready.messages] == [(False, 2), (True, 0)]
