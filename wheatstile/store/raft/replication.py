"""The leader's side of replication: proposals, appends, snapshots, heartbeats, the commit index (§3.5)."""

from __future__ import annotations

import msgspec

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft import membership, read_index, transfer
from wheatstile.store.raft.messages import Configuration, Entry, EntryKind, Message, MessageKind, Role
from wheatstile.store.raft.progress import Progress
from wheatstile.store.raft.state import RaftState

SNAPSHOT_CHUNK_BYTES = 256 * 1024
"""Maximum bytes of a snapshot's data in one message."""


def propose(
    state: RaftState, kind: EntryKind, data: bytes = b"", configuration: Configuration | None = None
) -> int:
    """Append an entry to the leader's log and return its index.

    Raises `NotLeaderError` on another node, and on the leader during a leadership transfer.
    """
    state.require_leader()
    leadership = state.leadership
    if leadership.transfer_target:
        raise NotLeaderError(leadership.transfer_target)
    index = state.log.last_index + 1
    state.log.append([Entry(state.term, index, kind, data, configuration)])
    for peer in state.peers:
        leadership.progress.setdefault(peer, Progress(next_index=index))
    advance_commit(state)
    return index


def advance_commit(state: RaftState) -> None:
    """Commit the entries that a quorum has stored, and continue a membership change that this commits."""
    quorum_index = state.configuration.quorum_value(state.match_index)
    # Only an entry of the leader's own term may be committed by counting its copies (paper, §5.4.2).
    if quorum_index <= state.log.commit_index or state.log.term_at(quorum_index) != state.term:
        return
    state.log.commit_index = quorum_index
    read_index.update_confirmed_round(state)
    if state.log.is_configuration_committed:
        _on_configuration_committed(state)


def _on_configuration_committed(state: RaftState) -> None:
    configuration = state.configuration
    if configuration.outgoing_voters:
        state.leadership.transfer_target = None
        final = membership.final_configuration(configuration)
        propose(state, EntryKind.CONFIGURATION, configuration=final)
    elif membership.is_removed(state):
        broadcast_heartbeat(state)  # tells the followers that the change is committed
        state.become_follower(state.term, None)


def broadcast_heartbeat(state: RaftState) -> None:
    """Start a heartbeat round.

    A follower that acknowledges the round has accepted this node as its leader after the round started.
    """
    leadership = state.leadership
    leadership.heartbeat_elapsed = 0
    leadership.heartbeat_requested = False
    leadership.round += 1
    leadership.round_started_at[leadership.round] = state.ticks
    for peer in state.peers:
        progress = leadership.progress[peer]
        if progress.snapshot:
            send_snapshot_chunk(state, peer)
        else:
            send_append(state, peer, ())
            progress.awaiting_reply = False
    read_index.update_confirmed_round(state)


def replicate(state: RaftState) -> None:
    """Send a heartbeat if one is requested, and send each peer the messages that flow control allows."""
    if state.leadership.heartbeat_requested:
        broadcast_heartbeat(state)
    for peer in state.peers:
        _replicate_to(state, peer)


def _replicate_to(state: RaftState, peer: str) -> None:
    """Send `peer` the entries or the snapshot chunk that flow control allows."""
    progress = state.leadership.progress[peer]
    while progress.can_send() and (progress.snapshot or progress.next_index <= state.log.last_index):
        if progress.snapshot is None and state.log.term_at(progress.next_index - 1) is None:
            progress.start_snapshot(state.log.snapshot)
        if progress.snapshot:
            send_snapshot_chunk(state, peer)
        else:
            entries = state.log.batch_from(progress.next_index)
            send_append(state, peer, entries)
            progress.on_append_sent(len(entries))


def send_append(state: RaftState, peer: str, entries: tuple[Entry, ...]) -> None:
    """Send `entries`, which start at the peer's `next_index`. An append without entries is a heartbeat."""
    progress = state.leadership.progress[peer]
    # A heartbeat to a peer whose preceding entry is compacted refers to the snapshot's last entry instead.
    previous_index = max(progress.next_index - 1, state.log.snapshot.index)
    state.messages.append(
        Message(
            kind=MessageKind.APPEND,
            sender=state.name,
            recipient=peer,
            term=state.term,
            index=previous_index,
            log_term=state.log.term_at(previous_index) or 0,
            entries=entries,
            commit=state.log.commit_index,
            context=state.leadership.round,
            echoed_tick=progress.reported_tick,
            commit_age_ticks=state.commit_age_ticks,
        )
    )


def send_snapshot_chunk(state: RaftState, peer: str) -> None:
    """Send the chunk of the snapshot that starts at the peer's offset. Each heartbeat resends it."""
    progress = state.leadership.progress[peer]
    snapshot = progress.snapshot
    assert snapshot is not None
    start = progress.snapshot_offset
    chunk = snapshot.data[start : start + SNAPSHOT_CHUNK_BYTES]
    progress.awaiting_reply = True
    state.messages.append(
        Message(
            kind=MessageKind.SNAPSHOT,
            sender=state.name,
            recipient=peer,
            term=state.term,
            snapshot=msgspec.structs.replace(snapshot, data=chunk),
            snapshot_offset=start,
            snapshot_size=len(snapshot.data),
            context=state.leadership.round,
        )
    )


def on_append_reply(state: RaftState, message: Message) -> None:
    """Handle a follower's reply to an append."""
    progress = _record_reply(state, message)
    if progress is None:
        return
    if message.granted:
        progress.on_append_accepted(message.index)
        if progress.snapshot and progress.match_index >= progress.snapshot.index:
            progress.finish_snapshot(progress.match_index)
        advance_commit(state)
        transfer.send_timeout_now_if_caught_up(state)
    elif progress.snapshot is None:
        progress.on_append_rejected(message.index, message.resume_from)


def on_snapshot_reply(state: RaftState, message: Message) -> None:
    """Handle a follower's reply to a snapshot chunk."""
    progress = _record_reply(state, message)
    if progress is None or progress.snapshot is None:
        return
    if message.granted:
        progress.finish_snapshot(message.index)
        advance_commit(state)
    elif message.index == progress.snapshot.index:
        progress.snapshot_offset = message.resume_from
        progress.awaiting_reply = False


def _record_reply(state: RaftState, message: Message) -> Progress | None:
    """Record a follower's reply and return the follower's progress.

    Returns None if this node is not the leader or the sender is not a member.
    """
    if state.role is not Role.LEADER:
        return None
    progress = state.leadership.progress.get(message.sender)
    if progress is None:
        return None
    state.leadership.active_peers.add(message.sender)
    progress.acknowledged_round = max(progress.acknowledged_round, message.context)
    progress.reported_tick = max(progress.reported_tick, message.sender_tick)
    read_index.update_confirmed_round(state)
    return progress
