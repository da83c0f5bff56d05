"""`RaftNode`: one member of the cluster as a pure step function, similar to etcd's raft.

The caller performs every side effect. It processes each `Ready` completely, in the order of its fields: it
persists the state, sends the messages, applies the entries, and then answers the reads. The node's time is a
count of ticks. Its random numbers come from a function that the caller passes in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from wheatstile.store.raft import election, follower, membership, read_index, replication, terms, transfer
from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    MessageKind,
    Ready,
    Role,
    Snapshot,
)
from wheatstile.store.raft.state import RaftState, Timing

MessageHandler = Callable[[RaftState, Message], None]


class RaftNode:
    """One member of the cluster.

    `step`, `tick` and the requests change `state`; `ready` returns the resulting work for the caller.

    `voters` is the initial configuration, which is used if nothing is stored yet. It is empty for a node that
    will be added to a running cluster. `draw(low, high)` returns an integer in [low, high) from a generator
    that the caller has seeded. `ticks` is the caller's clock at the start; it must not go back at a restart.
    """

    def __init__(
        self,
        name: str,
        voters: Iterable[str],
        draw: Callable[[int, int], int],
        timing: Timing | None = None,
        *,
        hard_state: HardState | None = None,
        snapshot: Snapshot | None = None,
        entries: Iterable[Entry] = (),
        ticks: int = 0,
    ) -> None:
        stored = hard_state or HardState(0, None, 0)
        snapshot = snapshot or Snapshot(0, 0, Configuration(frozenset(voters)), b"")
        log = RaftLog(snapshot, entries, stored.commit)
        # A crash may leave an entry on disk whose term was not stored in the hard state.
        term = max(stored.term, log.last_term)
        vote = stored.vote if stored.term == term else None
        self.state = RaftState(name, timing or Timing(), draw, log, ticks, term, vote)
        self._persisted_hard_state = self.state.hard_state
        self._handlers = message_handlers()

    @property
    def name(self) -> str:
        """The member's name."""
        return self.state.name

    @property
    def role(self) -> Role:
        """The node's role in the current term."""
        return self.state.role

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def leader(self) -> str | None:
        """The current term's leader, or None if this node does not know it."""
        return self.state.leader

    @property
    def is_membership_change_complete(self) -> bool:
        """True if the current configuration is not a joint one and is known to be committed."""
        return not self.log.configuration.outgoing_voters and self.log.is_configuration_committed

    @property
    def log(self) -> RaftLog:
        """The log, with the commit index and the applied index."""
        return self.state.log

    @property
    def hard_state(self) -> HardState:
        """The current term, vote and commit index."""
        return self.state.hard_state

    @property
    def ticks(self) -> int:
        """The node's clock, in ticks."""
        return self.state.ticks

    @property
    def commit_age_ticks(self) -> int:
        """Upper bound, in ticks, on the time by which the commit index lags behind the leader's."""
        return self.state.commit_age_ticks

    @property
    def confirmed_at_tick(self) -> int:
        """The latest tick at which the commit index is known to have been the leader's."""
        return self.state.confirmed_at_tick

    def tick(self) -> None:
        """Advance the clock by one tick, which may start an election or send a heartbeat."""
        self.state.ticks += 1
        self.state.election_elapsed += 1
        if self.role is Role.LEADER:
            self._tick_as_leader()
        else:
            election.tick(self.state)

    def _tick_as_leader(self) -> None:
        leadership = self.state.leadership
        leadership.heartbeat_elapsed += 1
        if leadership.heartbeat_elapsed >= self.state.timing.heartbeat_ticks:
            replication.broadcast_heartbeat(self.state)
        transfer.tick(self.state)
        election.check_quorum(self.state)

    def skip_ticks(self, count: int) -> None:
        """Advance the clock by `count` ticks without counting them towards any timeout."""
        self.state.ticks += count

    def propose(self, data: bytes) -> int:
        """Append `data` to the leader's log and return the index of the entry.

        Raises `NotLeaderError` on another node, and on the leader during a leadership transfer.
        """
        return replication.propose(self.state, EntryKind.DATA, data)

    def change_members(self, voters: Iterable[str], learners: Iterable[str] = ()) -> int:
        """Start a membership change and return the index of its first entry.

        Once the first entry is committed, the leader appends the entry that completes the change. Raises
        `NotLeaderError` and `MembershipChangeRejectedError`.
        """
        configuration = membership.plan_change(self.state, voters, learners)
        return replication.propose(self.state, EntryKind.CONFIGURATION, configuration=configuration)

    def transfer_leadership(self, target: str) -> None:
        """Start a transfer of leadership to `target`, which campaigns once its log is up to date.

        Raises `NotLeaderError` and `MembershipChangeRejectedError`.
        """
        transfer.start(self.state, target)

    def read(self, request_id: int) -> None:
        """Request a read index; a later `Ready` returns it under `request_id`.

        There is no reply if a message is lost. Raises `NotLeaderError` if no leader is known.
        """
        read_index.request(self.state, request_id)

    def cancel_read(self, request_id: int) -> None:
        """Discard a forwarded read, so that a later reply to it is ignored."""
        self.state.forwarded_reads.discard(request_id)

    def compact(self, data: bytes) -> None:
        """Replace the applied entries with a snapshot; `data` is the state machine's state after them."""
        self.state.log.compact(data)

    def step(self, message: Message) -> None:
        """Handle a message from another member. Raises ValueError if it is addressed to another node."""
        if message.recipient != self.name:
            raise ValueError(f"a message for {message.recipient} was delivered to {self.name}")
        if message.term < self.term:
            terms.reply_to_earlier_term(self.state, message)
        elif message.term == self.term or terms.accept_later_term(self.state, message):
            self._handlers[message.kind](self.state, message)

    def ready(self) -> Ready:
        """Return the work for the caller that has accumulated since the last call."""
        state = self.state
        if state.role is Role.LEADER:
            replication.replicate(state)
        ready = Ready(
            hard_state=self._take_changed_hard_state(),
            snapshot=state.log.take_unpersisted_snapshot(),
            entries=state.log.take_unpersisted_entries(),
            messages=state.messages,
            committed_entries=state.log.take_committed(),
            read_states=state.read_states,
            rejected_reads=state.rejected_reads,
        )
        state.messages = []
        state.read_states = []
        state.rejected_reads = []
        return ready

    def _take_changed_hard_state(self) -> HardState | None:
        hard_state = self.state.hard_state
        if hard_state == self._persisted_hard_state:
            return None
        self._persisted_hard_state = hard_state
        return hard_state


def message_handlers() -> dict[MessageKind, MessageHandler]:
    """Return the function that handles each kind of message.

    This is a function and not a constant, so that a test can replace a handler in its module.
    """
    return {
        MessageKind.PRE_VOTE: election.on_vote_request,
        MessageKind.PRE_VOTE_REPLY: election.on_pre_vote_reply,
        MessageKind.VOTE: election.on_vote_request,
        MessageKind.VOTE_REPLY: election.on_vote_reply,
        MessageKind.APPEND: follower.on_append,
        MessageKind.APPEND_REPLY: replication.on_append_reply,
        MessageKind.SNAPSHOT: follower.on_snapshot,
        MessageKind.SNAPSHOT_REPLY: replication.on_snapshot_reply,
        MessageKind.READ: read_index.on_read,
        MessageKind.READ_REPLY: read_index.on_read_reply,
        MessageKind.TIMEOUT_NOW: election.on_timeout_now,
    }
