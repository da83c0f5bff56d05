"""The values that Raft nodes store and exchange: entries, configurations, snapshots, messages, and `Ready`.

Each msgspec struct is encoded as a MessagePack map. The keys of the map are part of the stored format; where
a key differs from the field's name, `msgspec.field(name=...)` gives the key.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Set
from dataclasses import dataclass, field

import msgspec

ENTRY_OVERHEAD_BYTES = 64
"""Upper bound for the encoded size of an entry without its data and its configuration."""


class Role(enum.StrEnum):
    """The role of a node in its term (§3.3, §9.6)."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class MessageKind(enum.StrEnum):
    """The kind of a `Message`; the values are those on the wire."""

    PRE_VOTE = "pre-vote"
    PRE_VOTE_REPLY = "pre-vote-reply"
    VOTE = "vote"
    VOTE_REPLY = "vote-reply"
    APPEND = "append"  # replicates entries; a heartbeat is an append without entries
    APPEND_REPLY = "append-reply"
    SNAPSHOT = "snapshot"  # transfers one chunk of a snapshot
    SNAPSHOT_REPLY = "snapshot-reply"
    READ = "read"  # a follower requests a read index from the leader
    READ_REPLY = "read-reply"
    TIMEOUT_NOW = "timeout-now"  # tells the target of a leadership transfer to campaign at once


class EntryKind(enum.StrEnum):
    """The kind of a log entry; the values are those on disk and on the wire."""

    NOOP = "noop"  # a new leader's first entry; earlier terms' entries are committed with it
    DATA = "data"  # a command for the state machine
    CONFIGURATION = "config"  # takes effect as soon as it is in the log (§4.1)


class Configuration(msgspec.Struct, frozen=True):
    """The members of the cluster.

    `outgoing_voters` is set during a membership change (joint consensus, §4.3). A decision then needs a
    majority of `voters` and a majority of `outgoing_voters`. Learners receive the log but do not vote.
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
    def voter_sets(self) -> list[frozenset[str]]:
        """The sets of voters that each must have a majority: two sets during a change, otherwise one."""
        return [voters for voters in (self.voters, self.outgoing_voters) if voters]

    def has_quorum(self, names: Set[str]) -> bool:
        """Return whether `names` include a majority of each set of voters."""
        return all(len(names & voters) * 2 > len(voters) for voters in self.voter_sets)

    def quorum_value(self, value_of: Callable[[str], int]) -> int:
        """Return the highest value that a quorum has reached; `value_of` returns the value of one voter."""
        return min(
            sorted(map(value_of, voters), reverse=True)[len(voters) // 2] for voters in self.voter_sets
        )


class Entry(msgspec.Struct, frozen=True):
    """One entry of the log; `configuration` is set if `kind` is `EntryKind.CONFIGURATION`."""

    term: int
    index: int
    kind: EntryKind
    data: bytes = b""
    configuration: Configuration | None = msgspec.field(default=None, name="config")

    @property
    def max_encoded_bytes(self) -> int:
        """Upper bound for the encoded size."""
        configuration_bytes = len(msgspec.msgpack.encode(self.configuration)) if self.configuration else 0
        return ENTRY_OVERHEAD_BYTES + len(self.data) + configuration_bytes


class Snapshot(msgspec.Struct, frozen=True):
    """The state after the entry at `index` with `term` was applied, and the configuration at that index."""

    index: int
    term: int
    configuration: Configuration = msgspec.field(name="config")
    data: bytes


class HardState(msgspec.Struct, frozen=True):
    """The values that a node stores before it sends a message.

    `term` and `vote` must be on disk first (paper, figure 2: persistent state). `commit` is the commit
    index. With it, a restarted node can apply its log before it has found a leader.
    """

    term: int
    vote: str | None
    commit: int


class Message(msgspec.Struct, frozen=True):
    """A message between two nodes. As in etcd's raft, one type has the fields of all kinds.

    In vote requests, `index` and `log_term` identify the sender's last entry. In appends, they identify the
    entry that precedes `entries`. In append replies, `index` is that of the last matching entry if `granted`
    is true, otherwise that of the preceding entry, which did not match.
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
    """In replies, true if the vote was granted, the entries were appended, or the snapshot was installed."""
    resume_from: int = msgspec.field(default=0, name="hint")
    """In append replies, the last index that may match; in snapshot replies, the offset of the next byte."""
    context: int = msgspec.field(default=0, name="round")
    """In appends, snapshots and their replies, the heartbeat round; in reads, the identifier of the read."""
    sender_tick: int = msgspec.field(default=0, name="sent")
    """In append replies, the follower's tick when it replied."""
    echoed_tick: int = msgspec.field(default=0, name="echo")
    """In appends, the latest `sender_tick` that the leader received from this follower."""
    commit_age_ticks: int = msgspec.field(default=0, name="age")
    """In appends, the ticks since a quorum last confirmed the leader's commit index."""
    is_transfer: bool = msgspec.field(default=False, name="force")
    """In vote requests, true if the campaign is part of a leadership transfer."""
    snapshot: Snapshot | None = None
    """In snapshot messages, the snapshot; its `data` is one chunk, which starts at `snapshot_offset`."""
    snapshot_offset: int = msgspec.field(default=0, name="offset")
    snapshot_size: int = msgspec.field(default=0, name="total")
    """The size of the complete snapshot's data in bytes."""


@dataclass(frozen=True, slots=True)
class ReadState:
    """A read index: the read `request_id` is linearizable once the entry at `index` is applied (§6.4)."""

    request_id: int
    index: int


@dataclass(slots=True)
class Ready:
    """The work that a node returns to its caller, which performs it in the order of the fields."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    """The caller stores it, together with the log's entries after it, and loads it into the state machine."""
    entries: list[Entry] = field(default_factory=list)
    """The caller stores them, unless it has stored them with `snapshot`.

    They replace all stored entries from the index of the first one on.
    """
    messages: list[Message] = field(default_factory=list)
    """The caller sends them after the fields above are on disk."""
    committed_entries: list[Entry] = field(default_factory=list)
    """The caller applies them to the state machine."""
    read_states: list[ReadState] = field(default_factory=list)
    rejected_reads: list[int] = field(default_factory=list)
    """Identifiers of reads that were rejected."""

    def is_empty(self) -> bool:
        """Return whether there is no work."""
        persistent = self.hard_state or self.snapshot or self.entries
        volatile = self.messages or self.committed_entries or self.read_states or self.rejected_reads
        return not (persistent or volatile)
