"""The state of one Raft node, and the state changes that several parts of the algorithm share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import (
    Configuration,
    HardState,
    Message,
    MessageKind,
    ReadState,
    Role,
)
from wheatstile.store.raft.progress import Progress

NEVER_CONFIRMED_AGE_TICKS = 1_000_000
"""Age of the commit index, in ticks, before it has been confirmed for the first time."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in ticks.

    An election timeout is drawn at random from [`election_ticks`, 2 * `election_ticks`). Raises ValueError
    if the heartbeat interval is not shorter than `election_ticks`.
    """

    election_ticks: int = 10
    heartbeat_ticks: int = 2

    def __post_init__(self) -> None:
        if not 0 < self.heartbeat_ticks < self.election_ticks:
            raise ValueError(
                f"heartbeat_ticks is {self.heartbeat_ticks}; it must be at least 1 and less than "
                f"election_ticks, which is {self.election_ticks}"
            )


@dataclass(slots=True)
class PendingRead:
    """A read that the leader answers with `index` once a quorum has acknowledged `round` (§6.4).

    `round` is the number of a heartbeat round.
    """

    request_id: int
    requester: str
    index: int
    round: int


@dataclass(slots=True)
class IncomingSnapshot:
    """The received part of a snapshot; `index` and `term` are those of the last entry that it includes."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class Leadership:
    """The state that only a leader needs. It is empty on other nodes, and at the start of each term."""

    progress: dict[str, Progress] = field(default_factory=dict)
    """Replication state by peer."""
    active_peers: set[str] = field(default_factory=set)
    """Peers that have replied since the last quorum check."""
    heartbeat_elapsed: int = 0
    """Ticks since the last heartbeat."""
    heartbeat_requested: bool = False
    """True if a pending read needs a heartbeat round before the next one is due."""
    round: int = 0
    """The number of the latest heartbeat round."""
    confirmed_round: int = 0
    """The latest heartbeat round that a quorum has acknowledged."""
    round_started_at: dict[int, int] = field(default_factory=dict)
    """The tick at which each unconfirmed heartbeat round was sent."""
    pending_reads: list[PendingRead] = field(default_factory=list)
    noop_index: int = 0
    """The index of this leader's first entry."""
    transfer_target: str | None = None
    """The voter to which leadership is being transferred. While it is set, proposals are rejected."""
    transfer_ticks_remaining: int = 0


@dataclass(slots=True)
class RaftState:
    """The state of one node. The parts of the algorithm are functions that take it as first argument.

    `draw(low, high)` returns an integer in [low, high) from a generator that the caller has seeded.
    """

    name: str
    timing: Timing
    draw: Callable[[int, int], int]
    log: RaftLog
    ticks: int
    """The node's clock. It does not go back at a restart."""
    term: int = 0
    vote: str | None = None
    role: Role = Role.FOLLOWER
    leader: str | None = None
    election_elapsed: int = 0
    """Ticks since the last contact with the leader; on the leader, since the last quorum check."""
    election_timeout: int = 0
    votes_received: set[str] = field(default_factory=set)
    leadership: Leadership = field(default_factory=Leadership)
    forwarded_reads: set[int] = field(default_factory=set)
    """Identifiers of the reads that this node has forwarded and the leader has not answered."""
    incoming_snapshot: IncomingSnapshot | None = None
    confirmed_at_tick: int = 0
    """The latest tick of this node's clock at which its commit index is known to have been the leader's."""
    messages: list[Message] = field(default_factory=list)
    read_states: list[ReadState] = field(default_factory=list)
    rejected_reads: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.confirmed_at_tick = self.ticks - NEVER_CONFIRMED_AGE_TICKS
        self.reset_election_timer()

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""
        return self.log.configuration

    @property
    def hard_state(self) -> HardState:
        """The values that the caller must store before it sends the next message."""
        return HardState(self.term, self.vote, self.log.commit_index)

    @property
    def peers(self) -> list[str]:
        """The other members, sorted by name."""
        return sorted(self.configuration.members - {self.name})

    @property
    def commit_age_ticks(self) -> int:
        """Upper bound, in ticks, on the time by which the commit index lags behind the leader's."""
        return self.ticks - self.confirmed_at_tick

    @property
    def has_committed_in_term(self) -> bool:
        """True if an entry of the current term is committed.

        Until then, the commit index of a new leader may be lower than that of the previous leader (§6.4).
        """
        return self.log.term_at(self.log.commit_index) == self.term

    @property
    def has_recent_leader_contact(self) -> bool:
        """True if the last contact with the leader was within the minimum election timeout (§4.2.3)."""
        return self.leader is not None and self.election_elapsed < self.timing.election_ticks

    def require_leader(self) -> None:
        """Raise `NotLeaderError` unless this node is the leader."""
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)

    def send(
        self,
        kind: MessageKind,
        recipient: str,
        *,
        term: int | None = None,
        index: int = 0,
        granted: bool = False,
        resume_from: int = 0,
        context: int = 0,
        sender_tick: int = 0,
    ) -> None:
        """Queue a message that needs only these fields; `term` defaults to the current term."""
        self.messages.append(
            Message(
                kind=kind,
                sender=self.name,
                recipient=recipient,
                term=self.term if term is None else term,
                index=index,
                granted=granted,
                resume_from=resume_from,
                context=context,
                sender_tick=sender_tick,
            )
        )

    def reset_election_timer(self) -> None:
        """Start a new election timeout of random length (§3.4)."""
        self.election_elapsed = 0
        self.election_timeout = self.draw(self.timing.election_ticks, 2 * self.timing.election_ticks)

    def set_leader(self, leader: str | None) -> None:
        """Set the known leader. If it changes, reject the reads that were forwarded to the previous one."""
        if leader != self.leader:
            self.rejected_reads += sorted(self.forwarded_reads)
            self.forwarded_reads.clear()
        self.leader = leader

    def become_follower(self, term: int, leader: str | None) -> None:
        """Make this node a follower in `term`, which is the current term or a later one."""
        if term > self.term:
            self.term = term
            self.vote = None
        self.rejected_reads += [
            read.request_id for read in self.leadership.pending_reads if read.requester == self.name
        ]
        self.leadership = Leadership()
        self.role = Role.FOLLOWER
        self.reset_election_timer()
        self.set_leader(leader)

    def on_leader_contact(self, leader: str) -> None:
        """Record a message from the leader of the current term."""
        self.role = Role.FOLLOWER
        self.election_elapsed = 0
        self.set_leader(leader)

    def match_index(self, name: str) -> int:
        """Return the highest index up to which the log of `name` is known to match this leader's."""
        if name == self.name:
            return self.log.last_index
        progress = self.leadership.progress.get(name)
        return progress.match_index if progress else 0
