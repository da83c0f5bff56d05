"""Messages of earlier and later terms."""

from __future__ import annotations

import pytest
from raft_nodes import make_leader, make_node

from wheatstile.store.raft.messages import HardState, Message, MessageKind, Role


@pytest.mark.parametrize(
    ("kind", "reply_kind"),
    [
        (MessageKind.APPEND, MessageKind.APPEND_REPLY),
        (MessageKind.SNAPSHOT, MessageKind.APPEND_REPLY),
        (MessageKind.PRE_VOTE, MessageKind.PRE_VOTE_REPLY),
    ],
)
def test_a_message_of_an_earlier_term_is_answered_with_the_current_term(
    kind: MessageKind, reply_kind: MessageKind
) -> None:
    node = make_node(hard_state=HardState(5, None, 0))
    node.step(Message(kind, "b", "a", 4))
    (reply,) = node.ready().messages
    assert (reply.kind, reply.recipient, reply.term, reply.granted) == (reply_kind, "b", 5, False)


@pytest.mark.parametrize("kind", [MessageKind.VOTE, MessageKind.VOTE_REPLY, MessageKind.APPEND_REPLY])
def test_other_messages_of_an_earlier_term_are_ignored(kind: MessageKind) -> None:
    node = make_node(hard_state=HardState(5, None, 0))
    node.step(Message(kind, "b", "a", 4))
    assert node.ready().is_empty()


def test_a_leader_becomes_a_follower_on_an_append_of_a_later_term() -> None:
    leader = make_leader()
    leader.step(Message(MessageKind.APPEND, "b", "a", leader.term + 1))
    assert leader.role is Role.FOLLOWER
    assert leader.leader == "b"


def test_a_message_for_another_member_is_rejected() -> None:
    with pytest.raises(ValueError, match="a message for b was delivered to a"):
        make_node().step(Message(MessageKind.VOTE, "c", "b", 1))
