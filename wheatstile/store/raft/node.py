"""`RaftNode`: one member of the cluster as a pure step function, in the manner of etcd's raft.

The host owns every side effect. It carries out a `Ready` in the order of its fields: it persists, sends,
applies, then answers reads, and lets nothing in between. Time is a count of ticks, and randomness is a
callable that the host passes in.
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


class RaftNode:
    """One member of the cluster; `step`, `tick` and the requests change `state`, `ready` gives the work.

    `voters` is the first configuration, used where nothing is on disk yet; a node that is to join starts with
    none. `draw(low, high)` returns an integer in [low, high) from a generator that the host has seeded.
    `ticks` is the host's clock in ticks at the start: it must not repeat over restarts.
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
        # After a crash an entry may be on disk and the term that it was written in not.
        term = max(stored.term, log.last_term)
        vote = stored.vote if stored.term == term else None
        self.state = RaftState(name, timing or Timing(), draw, log, ticks, term, vote)
        self._persisted_hard_state = self.state.hard_state

    @property
    def name(self) -> str:
        """The member's name."""
        return self.state.name

    @property
    def role(self) -> Role:
        """Follower, pre-candidate, candidate or leader."""
        return self.state.role

    @property
    def term(self) -> int:
        """The current term."""
        return self.state.term

    @property
    def leader(self) -> str | None:
        """The leader that this node knows of, if any."""
        return self.state.leader

    @property
    def log(self) -> RaftLog:
        """The log, with the commit index and the applied index."""
        return self.state.log

    @property
    def hard_state(self) -> HardState:
        """Term, vote and commit index as they stand."""
        return self.state.hard_state

    @property
    def ticks(self) -> int:
        """The node's clock."""
        return self.state.ticks

    @property
    def commit_age_ticks(self) -> int:
        """Ticks by which the commit index may, at the most, be behind the leader's."""
        return self.state.commit_age_ticks

    def tick(self) -> None:
        """Let one tick pass."""
        state = self.state
        state.ticks += 1
        state.election_elapsed += 1
        if state.role is not Role.LEADER:
            election.tick(state)
            return
        state.leadership.heartbeat_elapsed += 1
        if state.leadership.heartbeat_elapsed >= state.timing.heartbeat_ticks:
            replication.broadcast_heartbeat(state)
        transfer.tick(state)
        election.check_quorum(state)

    def skip_ticks(self, count: int) -> None:
        """Move the clock on by `count` ticks that the host has missed, without letting them count."""
        self.state.ticks += count

    def propose(self, data: bytes) -> int:
        """Append `data` as the leader and return its index.

        Raises `NotLeaderError`, also during a leadership transfer.
        """
        return replication.propose(self.state, EntryKind.DATA, data)

    def change_members(self, voters: Iterable[str], learners: Iterable[str] = ()) -> int:
        """Begin the change to these members and return the index of its first entry.

        The entry that ends the change follows by itself, once the first one is committed. Raises
        `NotLeaderError` and `MembershipChangeRejectedError`.
        """
        configuration = membership.plan_change(self.state, voters, learners)
        return replication.propose(self.state, EntryKind.CONFIGURATION, configuration=configuration)

    def transfer_leadership(self, target: str) -> None:
        """Hand leadership to `target`, once its log is as long as this leader's.

        Raises `NotLeaderError` and `MembershipChangeRejectedError`.
        """
        transfer.start(self.state, target)

    def read(self, request_id: int) -> None:
        """Ask from which index on a read is linearizable; a `Ready` gives it under `request_id`.

        Raises `NotLeaderError` where no leader is known. An answer that is lost never comes.
        """
        read_index.request(self.state, request_id)

    def cancel_read(self, request_id: int) -> None:
        """Stop waiting for the answer to a read."""
        self.state.forwarded_reads.discard(request_id)

    def compact(self, data: bytes) -> None:
        """Replace the applied entries by a snapshot with `data`, the state after the last of them."""
        self.state.log.compact(data)

    def step(self, message: Message) -> None:
        """Handle a message from another member. Raises ValueError where it is meant for another one."""
        if message.recipient != self.name:
            raise ValueError(f"a message for {message.recipient} reached {self.name}")
        if message.term < self.term:
            terms.reply_to_earlier_term(self.state, message)
        elif message.term == self.term or terms.accept_later_term(self.state, message):
            self._dispatch(message)

    def _dispatch(self, message: Message) -> None:  # noqa: C901  one case for each kind of message
        match message.kind:
            case MessageKind.PRE_VOTE | MessageKind.VOTE:
                election.on_vote_request(self.state, message)
            case MessageKind.PRE_VOTE_REPLY:
                election.on_pre_vote_reply(self.state, message)
            case MessageKind.VOTE_REPLY:
                election.on_vote_reply(self.state, message)
            case MessageKind.APPEND:
                follower.on_append(self.state, message)
            case MessageKind.APPEND_REPLY:
                replication.on_append_reply(self.state, message)
            case MessageKind.SNAPSHOT:
                follower.on_snapshot(self.state, message)
            case MessageKind.SNAPSHOT_REPLY:
                replication.on_snapshot_reply(self.state, message)
            case MessageKind.READ:
                read_index.on_read(self.state, message)
            case MessageKind.READ_REPLY:
                read_index.on_read_reply(self.state, message)
            case MessageKind.TIMEOUT_NOW:
                election.on_timeout_now(self.state)

    def ready(self) -> Ready:
        """Return the work for the host, once."""
        state = self.state
        if state.role is Role.LEADER:
            if state.leadership.heartbeat_requested:
                replication.broadcast_heartbeat(state)
            for peer in state.peers:
                replication.replicate_to(state, peer)
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
