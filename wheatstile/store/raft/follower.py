"""The follower's side of replication: entries and snapshots from the leader (§3.5, §5.3)."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import Entry, Message, MessageKind, Snapshot
from wheatstile.store.raft.state import IncomingSnapshot, RaftState


@dataclass(frozen=True, slots=True)
class UncommittedEntries:
    """The entries of an append after the follower's commit index, and the preceding index and term."""

    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]


def on_append(state: RaftState, message: Message) -> None:
    """Append the leader's entries to the log if the preceding entry matches, and advance the commit index."""
    state.on_leader_contact(message.sender)
    log = state.log
    uncommitted = _skip_committed(log, message)
    if log.term_at(uncommitted.previous_index) != uncommitted.previous_term:
        _reject_append(state, message, uncommitted)
        return
    _append_missing_entries(log, uncommitted.entries)
    matching_index = max(message.index + len(message.entries), uncommitted.previous_index)
    log.commit_index = max(log.commit_index, min(message.commit, matching_index))
    _update_confirmed_tick(state, message)
    _reply(
        state,
        message,
        MessageKind.APPEND_REPLY,
        index=matching_index,
        granted=True,
        sender_tick=state.ticks,
    )


def _skip_committed(log: RaftLog, message: Message) -> UncommittedEntries:
    """Return the entries of an append without those up to the commit index, which are known to match."""
    if message.index >= log.commit_index:
        return UncommittedEntries(message.index, message.log_term, message.entries)
    entries = tuple(entry for entry in message.entries if entry.index > log.commit_index)
    return UncommittedEntries(log.commit_index, log.term_at(log.commit_index) or 0, entries)


def _reject_append(state: RaftState, message: Message, uncommitted: UncommittedEntries) -> None:
    """Reject an append whose preceding entry does not match, with the last index that may match."""
    log = state.log
    resume_from = min(uncommitted.previous_index - 1, log.last_index)
    # An entry of a later term than the leader's preceding entry cannot match.
    while resume_from > log.commit_index and (log.term_at(resume_from) or 0) > uncommitted.previous_term:
        resume_from -= 1
    _reply(
        state,
        message,
        MessageKind.APPEND_REPLY,
        index=uncommitted.previous_index,
        resume_from=resume_from,
        sender_tick=state.ticks,
    )


def _reply(
    state: RaftState,
    message: Message,
    kind: MessageKind,
    *,
    index: int,
    granted: bool = False,
    resume_from: int = 0,
    sender_tick: int = 0,
) -> None:
    """Reply to a message of the leader; the reply repeats the heartbeat round of that message."""
    state.send(
        kind,
        message.sender,
        index=index,
        granted=granted,
        resume_from=resume_from,
        context=message.context,
        sender_tick=sender_tick,
    )


def _append_missing_entries(log: RaftLog, entries: tuple[Entry, ...]) -> None:
    """Append the entries that the log does not have yet, after removing entries that conflict with them."""
    for position, entry in enumerate(entries):
        existing_term = log.term_at(entry.index)
        if existing_term == entry.term:
            continue
        if existing_term is not None:
            log.truncate_from(entry.index)
        log.append(entries[position:])
        break


def _update_confirmed_tick(state: RaftState, message: Message) -> None:
    """Update the latest tick at which this node's commit index is known to have been the leader's."""
    if state.log.commit_index < message.commit or not message.echoed_tick:
        return
    confirmed_at_tick = message.echoed_tick - message.commit_age_ticks
    state.confirmed_at_tick = max(state.confirmed_at_tick, confirmed_at_tick)


def on_snapshot(state: RaftState, message: Message) -> None:
    """Store a chunk of a snapshot, and install the snapshot when it is complete.

    A new leader that sends the same snapshot continues where the previous leader stopped.
    """
    state.on_leader_contact(message.sender)
    chunk = message.snapshot
    assert chunk is not None
    if chunk.index > state.log.commit_index:
        data = _collect_chunk(state, chunk, message.snapshot_offset)
        if len(data) < message.snapshot_size:
            _reply(state, message, MessageKind.SNAPSHOT_REPLY, index=chunk.index, resume_from=len(data))
            return
        state.log.install(msgspec.structs.replace(chunk, data=bytes(data)))
    state.incoming_snapshot = None
    _reply(state, message, MessageKind.SNAPSHOT_REPLY, index=state.log.commit_index, granted=True)


def _collect_chunk(state: RaftState, chunk: Snapshot, offset: int) -> bytearray:
    """Add a chunk if it is the next one of its snapshot, and return the snapshot's data so far."""
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (chunk.index, chunk.term):
        incoming = IncomingSnapshot(chunk.index, chunk.term)
        state.incoming_snapshot = incoming
    if offset == len(incoming.data):
        incoming.data += chunk.data
    return incoming.data
