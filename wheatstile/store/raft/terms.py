"""Handling of messages whose term differs from the node's current term (paper, §5.1)."""

from __future__ import annotations

from wheatstile.store.raft.messages import Message, MessageKind
from wheatstile.store.raft.state import RaftState

LEADER_MESSAGE_KINDS = (MessageKind.APPEND, MessageKind.SNAPSHOT)
"""Kinds of messages that only a leader sends."""


def reply_to_earlier_term(state: RaftState, message: Message) -> None:
    """Send the current term to an outdated leader or pre-candidate; ignore all other messages."""
    if message.kind is MessageKind.PRE_VOTE:
        state.send(MessageKind.PRE_VOTE_REPLY, message.sender)
    elif message.kind in LEADER_MESSAGE_KINDS:
        state.send(MessageKind.APPEND_REPLY, message.sender)


def accept_later_term(state: RaftState, message: Message) -> bool:
    """Adopt the term of a message from a later term, and return whether the message should be handled.

    A pre-vote request and a granting reply to it name a term that has not begun, so it is not adopted. A vote
    request is ignored while the leader is active, unless it is part of a leadership transfer (§4.2.3).
    """
    is_granted_pre_vote = message.kind is MessageKind.PRE_VOTE_REPLY and message.granted
    if message.kind is MessageKind.PRE_VOTE or is_granted_pre_vote:
        return True
    if message.kind is MessageKind.VOTE and state.has_recent_leader_contact and not message.is_transfer:
        return False
    leader = message.sender if message.kind in LEADER_MESSAGE_KINDS else None
    state.become_follower(message.term, leader)
    return True
