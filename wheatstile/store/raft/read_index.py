"""Linearizable reads without a log entry: the read index (§6.4).

A read is answered with the leader's commit index, once a quorum has answered a heartbeat that was sent after
the read arrived: that leader had not been replaced then. A follower forwards its reads to the leader.
"""

from __future__ import annotations

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Message, MessageKind, ReadState, Role
from wheatstile.store.raft.state import PendingRead, RaftState

MAX_PENDING_READS = 10_000
"""Unanswered reads at most, on a leader and on a follower; further ones are rejected."""


def request(state: RaftState, request_id: int) -> None:
    """Begin a read of this node. Raises `NotLeaderError` where no leader is known, or on overload."""
    if state.role is Role.LEADER:
        register(state, request_id, state.name)
        return
    if state.leader is None:
        raise NotLeaderError(None)
    if len(state.forwarded_reads) >= MAX_PENDING_READS:
        raise NotLeaderError(state.leader)
    state.forwarded_reads.add(request_id)
    state.send(MessageKind.READ, state.leader, context=request_id)


def register(state: RaftState, request_id: int, requester: str) -> None:
    """Have the leader answer a read after the next heartbeat round; all reads of one `Ready` share it."""
    leadership = state.leadership
    if len(leadership.pending_reads) >= MAX_PENDING_READS:
        if requester == state.name:
            state.rejected_reads.append(request_id)
        return
    # Until an entry of this term is committed, the commit index may be behind what was answered before.
    index = max(state.log.commit_index, leadership.noop_index)
    leadership.pending_reads.append(PendingRead(request_id, requester, index, leadership.round + 1))
    leadership.heartbeat_requested = True


def on_read(state: RaftState, message: Message) -> None:
    """Handle a read that a follower forwards."""
    if state.role is Role.LEADER:
        register(state, message.context, message.sender)


def on_read_reply(state: RaftState, message: Message) -> None:
    """Handle the leader's answer to a forwarded read."""
    if message.context in state.forwarded_reads:
        state.forwarded_reads.discard(message.context)
        state.read_states.append(ReadState(message.context, message.index))


def update_confirmed_round(state: RaftState) -> None:
    """Find the latest heartbeat round that a quorum has answered, and answer the reads that waited for it."""
    leadership = state.leadership
    rounds = {name: progress.acknowledged_round for name, progress in leadership.progress.items()}
    rounds[state.name] = leadership.round
    quorum_round = state.configuration.quorum_value(lambda name: rounds.get(name, 0))
    leadership.confirmed_round = max(leadership.confirmed_round, quorum_round)
    confirmed = [round_ for round_ in leadership.round_started_at if round_ <= leadership.confirmed_round]
    started_at = [leadership.round_started_at.pop(round_) for round_ in confirmed]
    if not state.has_committed_in_term:
        return
    state.confirmed_at_tick = max([state.confirmed_at_tick, *started_at])
    _answer_confirmed_reads(state)


def _answer_confirmed_reads(state: RaftState) -> None:
    unconfirmed = []
    for read in state.leadership.pending_reads:
        if read.round > state.leadership.confirmed_round:
            unconfirmed.append(read)
        elif read.requester == state.name:
            state.read_states.append(ReadState(read.request_id, read.index))
        else:
            state.send(MessageKind.READ_REPLY, read.requester, index=read.index, context=read.request_id)
    state.leadership.pending_reads = unconfirmed
