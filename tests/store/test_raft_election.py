"""Elections: pre-votes, votes, and a leader that steps down without a quorum."""

from __future__ import annotations

import pytest
from raft_nodes import make_follower, make_leader, make_node

from wheatstile.store.raft.messages import Entry, EntryKind, HardState, Message, MessageKind, Role


def test_a_follower_without_leader_contact_starts_a_pre_vote_without_a_new_term() -> None:
    node = make_node()
    for _ in range(20):
        node.tick()
    assert node.role is Role.PRE_CANDIDATE
    assert node.term == 0
    requests = node.ready().messages
    assert {message.recipient for message in requests} == {"b", "c"}
    assert {(message.kind, message.term) for message in requests} == {(MessageKind.PRE_VOTE, 1)}


@pytest.mark.parametrize(
    ("last_term", "last_index", "granted"),
    [(2, 2, True), (2, 3, True), (3, 1, True), (2, 1, False), (1, 9, False)],
)
def test_a_vote_is_granted_only_to_a_log_that_is_at_least_as_up_to_date(
    last_term: int, last_index: int, granted: bool
) -> None:
    log = [Entry(1, 1, EntryKind.NOOP), Entry(2, 2, EntryKind.NOOP)]
    node = make_node(hard_state=HardState(2, None, 0), entries=log)
    node.step(Message(MessageKind.VOTE, "b", "a", 4, index=last_index, log_term=last_term))
    (reply,) = node.ready().messages
    assert (reply.kind, reply.recipient, reply.granted) == (MessageKind.VOTE_REPLY, "b", granted)


def test_a_node_votes_for_one_candidate_in_a_term() -> None:
    node = make_node()
    for candidate in "bcb":
        node.step(Message(MessageKind.VOTE, candidate, "a", 1))
    replies = node.ready().messages
    assert [(reply.recipient, reply.granted) for reply in replies] == [("b", True), ("c", False), ("b", True)]


@pytest.mark.parametrize(("is_transfer", "term"), [(False, 1), (True, 2)])
def test_a_vote_request_is_ignored_while_the_leader_is_active_except_for_a_transfer(
    is_transfer: bool, term: int
) -> None:
    node = make_follower()
    node.step(Message(MessageKind.VOTE, "c", "a", 2, is_transfer=is_transfer))
    assert node.term == term


def test_a_leader_without_a_quorum_steps_down() -> None:
    leader = make_leader()
    for _ in range(20):
        leader.tick()
    assert leader.role is Role.FOLLOWER
    assert leader.leader is None
