"""Messages of another term than the node's (paper, §5.1)."""

from __future__ import annotations

from wheatstile.store.raft.messages import Message, MessageKind
from wheatstile.store.raft.state import RaftState

LEADER_MESSAGES = (MessageKind.APPEND, MessageKind.SNAPSHOT)
"""Messages that only the leader of their term sends."""


def reply_to_earlier_term(state: RaftState, message: Message) -> None:
    """Let a leader or a pre-candidate know that its term is over; ignore all other messages."""
    if message.kind is MessageKind.PRE_VOTE:
        state.send(MessageKind.PRE_VOTE_REPLY, message.sender)
    elif message.kind in LEADER_MESSAGES:
        state.send(MessageKind.APPEND_REPLY, message.sender)


def accept_later_term(state: RaftState, message: Message) -> bool:
    """Take over the message's term, where its kind calls for it; False where the message is to be ignored."""
    if message.kind is MessageKind.PRE_VOTE:
        return True  # asks about a term that nobody has begun
    if message.kind is MessageKind.PRE_VOTE_REPLY and message.granted:
        return True
    if message.kind is MessageKind.VOTE and state.is_leader_recent and not message.is_transfer:
        return False  # §4.2.3: nobody replaces a leader that is heard from
    state.become_follower(message.term, message.sender if message.kind in LEADER_MESSAGES else None)
    return True
