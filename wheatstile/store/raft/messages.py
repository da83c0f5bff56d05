"""Values that Raft nodes store and exchange: entries, configurations, snapshots, messages, and `Ready`.

All but `Ready` are encoded as MessagePack maps. Fields whose key on the wire or on disk differs from the
field's name give the key with `msgspec.field(name=...)`: the keys are part of the stored format.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Set
from dataclasses import dataclass, field

import msgspec


class Role(enum.StrEnum):
    """The role of a node in its term (§3.3, §9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class MessageKind(enum.StrEnum):
    """What a `Message` asks or answers; the values are those on the wire."""

    PRE_VOTE = "pre-vote"
    PRE_VOTE_REPLY = "pre-vote-reply"
    VOTE = "vote"
    VOTE_REPLY = "vote-reply"
    APPEND = "append"  # replicates entries; without entries it is the heartbeat
    APPEND_REPLY = "append-reply"
    SNAPSHOT = "snapshot"  # one chunk of a snapshot
    SNAPSHOT_REPLY = "snapshot-reply"
    READ = "read"  # a follower asks the leader for a read index
    READ_REPLY = "read-reply"
    TIMEOUT_NOW = "timeout-now"  # leadership transfer: the receiver campaigns at once


class EntryKind(enum.StrEnum):
    """What a log entry holds; the values are those on disk and on the wire."""

    NOOP = "noop"  # a new leader's first entry, which lets it commit the entries of earlier terms
    DATA = "data"  # a command for the state machine
    CONFIGURATION = "config"  # in force from the moment that it is in the log (§4.1)


class Configuration(msgspec.Struct, frozen=True):
    """The members of the cluster.

    While `outgoing_voters` is not empty, a change is under way (joint consensus, §4.3): a decision needs a
    majority of `voters` and a majority of `outgoing_voters`. Learners receive the log and do not vote.
    """

    voters: frozenset[str]
    outgoing_voters: frozenset[str] = msgspec.field(default=frozenset(), name="old")
    learners: frozenset[str] = frozenset()

    @property
    def members(self) -> frozenset[str]:
        """All nodes that receive the log."""
        return self.voters | self.outgoing_voters | self.learners

    @property
    def electors(self) -> frozenset[str]:
        """All nodes that may vote and campaign."""
        return self.voters | self.outgoing_voters

    @property
    def majorities(self) -> list[frozenset[str]]:
        """The sets of voters of each of which a decision needs a majority: two during a change, else one."""
        return [voters for voters in (self.voters, self.outgoing_voters) if voters]

    def has_quorum(self, names: Set[str]) -> bool:
        """Whether the nodes `names` suffice for a decision."""
        return all(len(names & voters) * 2 > len(voters) for voters in self.majorities)

    def quorum_value(self, value_of: Callable[[str], int]) -> int:
        """Return the largest value that a quorum has reached; `value_of` gives each voter's."""
        return min(
            sorted(map(value_of, voters), reverse=True)[len(voters) // 2] for voters in self.majorities
        )


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log; `configuration` is set for entries of that kind."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""
    configuration: Configuration | None = msgspec.field(default=None, name="config")


class Snapshot(msgspec.Struct, frozen=True):
    """The applied state up to `index`, whose entry had `term`, and the configuration at that index."""

    index: int
    term: int
    configuration: Configuration = msgspec.field(name="config")
    data: bytes


class HardState(msgspec.Struct, frozen=True):
    """What a node must have on disk before it sends a message (paper, figure 2: persistent state).

    `commit` is stored with it so that a restarted node applies its log without a leader.
    """

    term: int
    vote: str | None
    commit: int


class Message(msgspec.Struct, frozen=True):
    """One message between two nodes; as in etcd's raft, one type carries the fields of every kind.

    `index` and `log_term` name the sender's last entry in votes, the entry before `entries` in appends, and
    the rejected entry in a rejection.
    """

    kind: MessageKind
    sender: str = msgspec.field(name="src")
    recipient: str = msgspec.field(name="dst")
    term: int
    index: int = 0
    log_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    """The leader's commit index, in appends."""
    granted: bool = False
    """In replies: the vote is given, the entries are stored, the snapshot is installed."""
    resume_from: int = msgspec.field(default=0, name="hint")
    """In rejections the index to continue from; in snapshot replies the next byte."""
    context: int = msgspec.field(default=0, name="round")
    """The leader's heartbeat round, returned in replies; for reads the identifier of the read."""
    sender_tick: int = msgspec.field(default=0, name="sent")
    """In append replies: the follower's tick when it replied."""
    echoed_tick: int = msgspec.field(default=0, name="echo")
    """In appends: the latest `sender_tick` that the leader had from this follower."""
    commit_age_ticks: int = msgspec.field(default=0, name="age")
    """In appends: ticks since a quorum last confirmed the leader's commit index."""
    is_transfer: bool = msgspec.field(default=False, name="force")
    """In votes: the leader asked for the campaign, so the check against disruptive servers does not apply."""
    snapshot: Snapshot | None = None
    """In snapshot messages; its `data` is one chunk, which starts at `snapshot_offset`."""
    snapshot_offset: int = msgspec.field(default=0, name="offset")
    snapshot_size: int = msgspec.field(default=0, name="total")
    """Bytes of the complete snapshot."""


@dataclass(frozen=True, slots=True)
class ReadState:
    """The read `request_id` is linearizable once the entry at `index` is applied (§6.4)."""

    request_id: int
    index: int


@dataclass(slots=True)
class Ready:
    """The work that a node has for its host, to be done in the order of the fields."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    """To be persisted with the log's entries after it, and to replace the state machine's state."""
    entries: list[Entry] = field(default_factory=list)
    """To be persisted, unless that was done with `snapshot`.

    They replace whatever stands at the first one's index and after it.
    """
    messages: list[Message] = field(default_factory=list)
    """To be sent once the fields above are on disk."""
    committed_entries: list[Entry] = field(default_factory=list)
    """To be applied to the state machine."""
    read_states: list[ReadState] = field(default_factory=list)
    rejected_reads: list[int] = field(default_factory=list)
    """Identifiers of reads that will not be answered."""

    def is_empty(self) -> bool:
        """Whether there is nothing to do."""
        persistent = self.hard_state or self.snapshot or self.entries
        volatile = self.messages or self.committed_entries or self.read_states or self.rejected_reads
        return not (persistent or volatile)
