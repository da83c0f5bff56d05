"""The leader's side of replication: proposals, commits and snapshots."""

from __future__ import annotations

import pytest
from raft_nodes import acknowledge_all, make_leader, make_node

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Message, MessageKind
from wheatstile.store.raft.replication import SNAPSHOT_CHUNK_BYTES


def test_an_entry_is_committed_once_a_majority_has_stored_it() -> None:
    leader = make_leader()
    index = leader.propose(b"x")
    assert leader.log.commit_index == index - 1
    acknowledge_all(leader, "b")
    assert leader.log.commit_index == index
    assert [entry.data for entry in leader.ready().committed_entries] == [b"x"]


def test_only_the_leader_accepts_proposals() -> None:
    with pytest.raises(NotLeaderError) as caught:
        make_node().propose(b"x")
    assert caught.value.leader is None


def test_a_follower_behind_the_snapshot_receives_it_in_chunks() -> None:
    leader = make_leader(followers="b")
    leader.compact(bytes(SNAPSHOT_CHUNK_BYTES + 1))
    for _ in range(leader.state.timing.heartbeat_ticks):
        leader.tick()
    (first,) = [message for message in leader.ready().messages if message.kind is MessageKind.SNAPSHOT]
    assert (first.recipient, first.snapshot_offset) == ("c", 0)
    assert first.snapshot_size == SNAPSHOT_CHUNK_BYTES + 1
    leader.step(
        Message(
            MessageKind.SNAPSHOT_REPLY,
            "c",
            "a",
            leader.term,
            index=leader.log.snapshot.index,
            resume_from=SNAPSHOT_CHUNK_BYTES,
        )
    )
    (second,) = [message for message in leader.ready().messages if message.kind is MessageKind.SNAPSHOT]
    assert second.snapshot_offset == SNAPSHOT_CHUNK_BYTES
    assert second.snapshot
    assert len(second.snapshot.data) == 1
