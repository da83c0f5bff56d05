"""Linearizable reads that need no log entry, by the read index method (§6.4).

The leader answers a read with its commit index, once a quorum has acknowledged a heartbeat that was sent
after the read arrived. This proves that the node was still the leader when the read arrived. A follower
forwards its reads to the leader.
"""

from __future__ import annotations

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Message, MessageKind, ReadState, Role
from wheatstile.store.raft.state import Leadership, PendingRead, RaftState

MAX_PENDING_READS = 10_000
"""Maximum number of pending reads on one node. The node does not accept further reads."""


def request(state: RaftState, request_id: int) -> None:
    """Start a read. Raises `NotLeaderError` if no leader is known or too many reads are pending."""
    if state.role is Role.LEADER:
        register(state, request_id, state.name)
        return
    if state.leader is None or len(state.forwarded_reads) >= MAX_PENDING_READS:
        raise NotLeaderError(state.leader)
    state.forwarded_reads.add(request_id)
    state.send(MessageKind.READ, state.leader, context=request_id)


def register(state: RaftState, request_id: int, requester: str) -> None:
    """Queue a read on the leader, and request a heartbeat round, which all queued reads share."""
    leadership = state.leadership
    if len(leadership.pending_reads) >= MAX_PENDING_READS:
        if requester == state.name:
            state.rejected_reads.append(request_id)
        return
    # Before an entry of this term is committed, the commit index may be lower than the previous leader's.
    index = max(state.log.commit_index, leadership.noop_index)
    leadership.pending_reads.append(PendingRead(request_id, requester, index, leadership.round + 1))
    leadership.heartbeat_requested = True


def on_read(state: RaftState, message: Message) -> None:
    """Handle a read that a follower has forwarded."""
    if state.role is Role.LEADER:
        register(state, message.context, message.sender)


def on_read_reply(state: RaftState, message: Message) -> None:
    """Handle the leader's reply to a forwarded read."""
    if message.context in state.forwarded_reads:
        state.forwarded_reads.discard(message.context)
        state.read_states.append(ReadState(message.context, message.index))


def update_confirmed_round(state: RaftState) -> None:
    """Update the latest round that a quorum has acknowledged, and answer the reads that waited for it."""
    leadership = state.leadership
    leadership.confirmed_round = max(leadership.confirmed_round, _quorum_round(state))
    started_at = _take_confirmed_round_starts(leadership)
    if not state.has_committed_in_term:
        return
    state.confirmed_at_tick = max([state.confirmed_at_tick, *started_at])
    _answer_confirmed_reads(state)


def _quorum_round(state: RaftState) -> int:
    """Return the latest heartbeat round that a quorum of the current configuration has acknowledged."""
    leadership = state.leadership
    rounds = {name: progress.acknowledged_round for name, progress in leadership.progress.items()}
    rounds[state.name] = leadership.round
    return state.configuration.quorum_value(lambda name: rounds.get(name, 0))


def _take_confirmed_round_starts(leadership: Leadership) -> list[int]:
    """Remove the confirmed rounds from `round_started_at` and return the ticks at which they started."""
    started_at = leadership.round_started_at
    confirmed = [round_number for round_number in started_at if round_number <= leadership.confirmed_round]
    return [started_at.pop(round_number) for round_number in confirmed]


def _answer_confirmed_reads(state: RaftState) -> None:
    """Answer the reads whose round is confirmed; the others stay pending."""
    unconfirmed = []
    for read in state.leadership.pending_reads:
        if read.round > state.leadership.confirmed_round:
            unconfirmed.append(read)
        elif read.requester == state.name:
            state.read_states.append(ReadState(read.request_id, read.index))
        else:
            state.send(MessageKind.READ_REPLY, read.requester, index=read.index, context=read.request_id)
    state.leadership.pending_reads = unconfirmed
