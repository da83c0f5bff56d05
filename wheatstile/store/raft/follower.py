"""The follower's side of replication: entries and snapshots from the leader (§3.5, §5.3)."""

from __future__ import annotations

import msgspec

from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import Entry, Message, MessageKind, Snapshot
from wheatstile.store.raft.state import IncomingSnapshot, RaftState


def on_append(state: RaftState, message: Message) -> None:
    """Store the leader's entries, if the entry before them matches, and advance the commit index."""
    state.on_leader_contact(message.sender)
    log = state.log
    previous_index = message.index
    previous_term = message.log_term
    entries = message.entries
    if previous_index < log.commit_index:  # entries up to the commit index are final and match
        entries = tuple(entry for entry in entries if entry.index > log.commit_index)
        previous_index = log.commit_index
        previous_term = log.term_at(log.commit_index) or 0
    if log.term_at(previous_index) != previous_term:
        _reject_append(state, message, previous_index, previous_term)
        return
    _store_entries(log, entries)
    last_new_index = max(message.index + len(message.entries), previous_index)
    log.commit_index = max(log.commit_index, min(message.commit, last_new_index))
    if log.commit_index >= message.commit and message.echoed_tick:
        confirmed_at_tick = message.echoed_tick - message.commit_age_ticks
        state.confirmed_at_tick = max(state.confirmed_at_tick, confirmed_at_tick)
    state.send(
        MessageKind.APPEND_REPLY,
        message.sender,
        index=last_new_index,
        granted=True,
        context=message.context,
        sender_tick=state.ticks,
    )


def _reject_append(state: RaftState, message: Message, previous_index: int, previous_term: int) -> None:
    """Tell the leader that the entry before does not match, and from where on the logs may match."""
    log = state.log
    resume_from = min(previous_index - 1, log.last_index)
    # No entry of a later term than the leader's entry can match before that entry.
    while resume_from > log.commit_index and (log.term_at(resume_from) or 0) > previous_term:
        resume_from -= 1
    state.send(
        MessageKind.APPEND_REPLY,
        message.sender,
        index=previous_index,
        resume_from=resume_from,
        context=message.context,
        sender_tick=state.ticks,
    )


def _store_entries(log: RaftLog, entries: tuple[Entry, ...]) -> None:
    """Append the entries that are new, in place of those from the first conflict on."""
    for position, entry in enumerate(entries):
        known_term = log.term_at(entry.index)
        if known_term == entry.term:
            continue
        if known_term is not None:
            log.truncate_from(entry.index)
        log.append(entries[position:])
        break


def on_snapshot(state: RaftState, message: Message) -> None:
    """Collect the chunks of a snapshot and install it when it is complete.

    A transfer resumes where it stopped, also under another leader with the same snapshot.
    """
    state.on_leader_contact(message.sender)
    chunk = message.snapshot
    assert chunk is not None
    if chunk.index > state.log.commit_index:
        data = _collect_chunk(state, chunk, message.snapshot_offset)
        if len(data) < message.snapshot_size:
            state.send(
                MessageKind.SNAPSHOT_REPLY,
                message.sender,
                index=chunk.index,
                resume_from=len(data),
                context=message.context,
            )
            return
        state.log.install(msgspec.structs.replace(chunk, data=bytes(data)))
    state.incoming_snapshot = None
    state.send(
        MessageKind.SNAPSHOT_REPLY,
        message.sender,
        index=state.log.commit_index,
        granted=True,
        context=message.context,
    )


def _collect_chunk(state: RaftState, chunk: Snapshot, offset: int) -> bytearray:
    """Add a chunk, if it is the next one of its snapshot; returns all data of that snapshot so far."""
    incoming = state.incoming_snapshot
    if incoming is None or (incoming.index, incoming.term) != (chunk.index, chunk.term):
        incoming = IncomingSnapshot(chunk.index, chunk.term)
        state.incoming_snapshot = incoming
    if offset == len(incoming.data):
        incoming.data += chunk.data
    return incoming.data
