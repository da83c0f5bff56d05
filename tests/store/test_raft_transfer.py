"""Leadership transfer: the message to the target, and rejected proposals."""

from __future__ import annotations

import pytest
from raft_nodes import acknowledge_all, make_follower, make_leader

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.raft.messages import Message, MessageKind, Role
from wheatstile.store.raft.node import RaftNode


def recipients_of_timeout_now(node: RaftNode) -> list[str]:
    """Return the nodes to which `node` has sent a timeout-now message since the last call."""
    messages = node.ready().messages
    return [message.recipient for message in messages if message.kind is MessageKind.TIMEOUT_NOW]


def test_timeout_now_is_sent_once_the_log_of_the_target_is_complete() -> None:
    leader = make_leader()
    leader.propose(b"x")
    leader.transfer_leadership("b")
    assert recipients_of_timeout_now(leader) == []
    acknowledge_all(leader, "b")
    assert recipients_of_timeout_now(leader) == ["b"]


def test_a_leader_rejects_proposals_during_a_transfer_and_cancels_it_after_a_timeout() -> None:
    leader = make_leader()
    leader.transfer_leadership("b")
    with pytest.raises(NotLeaderError) as caught:
        leader.propose(b"x")
    assert caught.value.leader == "b"
    for _ in range(10):
        leader.tick()
        acknowledge_all(leader, "c")
    assert leader.propose(b"x") == leader.log.last_index


def test_a_timeout_now_message_starts_an_election_at_once() -> None:
    node = make_follower()
    node.step(Message(MessageKind.TIMEOUT_NOW, "b", "a", 1))
    assert node.role is Role.CANDIDATE
    requests = [message for message in node.ready().messages if message.kind is MessageKind.VOTE]
    assert [request.is_transfer for request in requests] == [True, True]


@pytest.mark.parametrize("target", ["a", "unknown"])
def test_only_another_voter_can_be_the_transfer_target(target: str) -> None:
    with pytest.raises(MembershipChangeRejectedError, match="only be transferred to another voter"):
        make_leader().transfer_leadership(target)
