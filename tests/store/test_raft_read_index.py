"""Linearizable reads by the read index method."""

from __future__ import annotations

import pytest
from raft_nodes import acknowledge_all, make_follower, make_leader, make_node

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Message, MessageKind, ReadState


def test_a_read_waits_for_a_heartbeat_round_that_starts_after_it() -> None:
    leader = make_leader()
    leader.read(7)
    acknowledge_all(leader, "b")  # acknowledges a round that started before the read
    assert leader.ready().read_states == []
    acknowledge_all(leader, "b")
    assert leader.ready().read_states == [ReadState(7, leader.log.commit_index)]


def test_a_follower_forwards_a_read_to_its_leader() -> None:
    node = make_follower()
    node.read(7)
    (request,) = node.ready().messages
    assert (request.kind, request.recipient, request.context) == (MessageKind.READ, "b", 7)
    node.step(Message(MessageKind.READ_REPLY, "b", "a", 1, index=3, context=7))
    assert node.ready().read_states == [ReadState(7, 3)]


def test_forwarded_reads_are_rejected_when_the_leader_changes() -> None:
    node = make_follower()
    node.read(7)
    node.step(Message(MessageKind.APPEND, "c", "a", 2))
    assert node.ready().rejected_reads == [7]


def test_a_read_without_a_known_leader_is_rejected() -> None:
    with pytest.raises(NotLeaderError):
        make_node().read(7)
