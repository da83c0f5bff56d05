"""Elections: pre-vote (§9.6), votes (§3.4), and the leader's check that it still has a quorum (§6.2)."""

from __future__ import annotations

from wheatstile.store.raft import membership, replication
from wheatstile.store.raft.messages import EntryKind, Message, MessageKind, Role
from wheatstile.store.raft.progress import Progress
from wheatstile.store.raft.state import Leadership, RaftState


def tick(state: RaftState) -> None:
    """Start a pre-vote after an election timeout without a message from a leader."""
    if state.election_elapsed >= state.election_timeout and membership.may_campaign(state):
        start_pre_vote(state)


def check_quorum(state: RaftState) -> None:
    """Step down as leader if no quorum has replied since the last check, an election timeout ago (§6.2)."""
    if state.election_elapsed < state.timing.election_ticks:
        return
    state.election_elapsed = 0
    if not state.configuration.has_quorum(state.leadership.active_peers | {state.name}):
        state.become_follower(state.term, None)
    state.leadership.active_peers = set()


def start_pre_vote(state: RaftState) -> None:
    """Ask the other voters whether they would vote for this node, without starting a term (§9.6)."""
    state.reset_election_timer()
    state.set_leader(None)
    state.role = Role.PRE_CANDIDATE
    _request_votes(state, MessageKind.PRE_VOTE, state.term + 1)


def start_election(state: RaftState, is_transfer: bool = False) -> None:
    """Start a campaign in a new term; `is_transfer` marks one that the leader has requested (§3.10)."""
    state.reset_election_timer()
    state.set_leader(None)
    state.role = Role.CANDIDATE
    state.term += 1
    state.vote = state.name
    _request_votes(state, MessageKind.VOTE, state.term, is_transfer)


def _request_votes(state: RaftState, kind: MessageKind, term: int, is_transfer: bool = False) -> None:
    state.votes_received = {state.name}
    if state.configuration.has_quorum(state.votes_received):
        _on_campaign_won(state)
        return
    for peer in sorted(state.configuration.electors - {state.name}):
        state.messages.append(
            Message(
                kind=kind,
                sender=state.name,
                recipient=peer,
                term=term,
                is_transfer=is_transfer,
                index=state.log.last_index,
                log_term=state.log.last_term,
            )
        )


def on_vote_request(state: RaftState, message: Message) -> None:
    """Reply to a vote or pre-vote request.

    The vote is granted only if the sender's log is at least as up to date as this node's log (§3.6.1).
    """
    last_entry = (state.log.last_term, state.log.last_index)
    is_up_to_date = (message.log_term, message.index) >= last_entry
    if message.kind is MessageKind.PRE_VOTE:
        _reply_to_pre_vote_request(state, message, is_up_to_date)
    else:
        _reply_to_vote_request(state, message, is_up_to_date)


def _reply_to_pre_vote_request(state: RaftState, message: Message, is_up_to_date: bool) -> None:
    """Reply in the pre-candidate's term if the pre-vote is granted, otherwise in the current term."""
    granted = is_up_to_date and message.term > state.term and not state.has_recent_leader_contact
    term = message.term if granted else state.term
    state.send(MessageKind.PRE_VOTE_REPLY, message.sender, term=term, granted=granted)


def _reply_to_vote_request(state: RaftState, message: Message, is_up_to_date: bool) -> None:
    """Grant the vote of the current term to at most one candidate."""
    granted = is_up_to_date and state.vote in (None, message.sender)
    if granted:
        state.vote = message.sender
        state.election_elapsed = 0
    state.send(MessageKind.VOTE_REPLY, message.sender, granted=granted)


def on_pre_vote_reply(state: RaftState, message: Message) -> None:
    """Count a reply to a pre-vote request."""
    if state.role is Role.PRE_CANDIDATE and message.term == state.term + 1:
        _count_vote(state, message)


def on_vote_reply(state: RaftState, message: Message) -> None:
    """Count a reply to a vote request."""
    if state.role is Role.CANDIDATE and message.term == state.term:
        _count_vote(state, message)


def _count_vote(state: RaftState, message: Message) -> None:
    if not message.granted:
        return
    state.votes_received.add(message.sender)
    if state.configuration.has_quorum(state.votes_received):
        _on_campaign_won(state)


def _on_campaign_won(state: RaftState) -> None:
    if state.role is Role.PRE_CANDIDATE:
        start_election(state)
    else:
        become_leader(state)


def become_leader(state: RaftState) -> None:
    """Make this node the leader and append a no-op entry.

    Once the no-op entry is committed, the entries of earlier terms are committed with it (§6.4).
    """
    state.role = Role.LEADER
    state.set_leader(state.name)
    state.election_elapsed = 0
    next_index = state.log.last_index + 1
    state.leadership = Leadership(
        progress={peer: Progress(next_index=next_index) for peer in state.peers},
        round_started_at={0: state.ticks},
    )
    state.leadership.noop_index = replication.propose(state, EntryKind.NOOP)


def on_timeout_now(state: RaftState, _message: Message) -> None:
    """Start a campaign at once, because the leader transfers its leadership to this node (§3.10).

    A node that is no longer a voter ignores it, and the leader cancels the transfer after a timeout.
    """
    if state.name in state.configuration.voters and state.role is Role.FOLLOWER:
        start_election(state, is_transfer=True)
