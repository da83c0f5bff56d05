"""What Raft nodes keep and tell each other: entries, configurations, snapshots, messages, and a `Ready`.

Plain values that MessagePack carries (msgspec); nothing here decides, but for how a `Config` counts.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Set
from dataclasses import dataclass, field


class Role(enum.Enum):
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Kind(enum.Enum):
    PRE_VOTE = "pre-vote"
    PRE_VOTE_REPLY = "pre-vote-reply"
    VOTE = "vote"
    VOTE_REPLY = "vote-reply"
    APPEND = "append"
    APPEND_REPLY = "append-reply"
    SNAPSHOT = "snapshot"
    SNAPSHOT_REPLY = "snapshot-reply"
    READ = "read"  # a follower asks the leader from which index on a read is linearizable
    READ_REPLY = "read-reply"
    TIMEOUT_NOW = "timeout-now"  # the leader hands over: campaign at once


class EntryKind(enum.Enum):
    NOOP = "noop"  # a new leader's first entry, so that it may commit what earlier terms left
    DATA = "data"
    CONFIG = "config"  # holds from the moment it is in the log


@dataclass(frozen=True, slots=True)
class Config:
    """Who counts. While `old` is not empty the change is under way (joint consensus): a decision needs a
    majority of `voters` and one of `old`. Learners are sent the log and count for nothing."""

    voters: frozenset[str]
    old: frozenset[str] = frozenset()
    learners: frozenset[str] = frozenset()

    @property
    def members(self) -> frozenset[str]:
        return self.voters | self.old | self.learners

    @property
    def electors(self) -> frozenset[str]:
        return self.voters | self.old

    def quorum(self, names: Set[str]) -> bool:
        return all(len(names & half) * 2 > len(half) for half in (self.voters, self.old) if half)

    def agreed(self, value: Callable[[str], int]) -> int:
        """The largest number that a quorum has reached, `value` telling each member's."""
        return min(sorted(map(value, half), reverse=True)[len(half) // 2]
                   for half in (self.voters, self.old) if half)


@dataclass(frozen=True, slots=True)
class Entry:
    term: int
    index: int
    kind: EntryKind
    data: bytes = b""
    config: Config | None = None


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The applied state up to `index` (whose entry had `term`), and the configuration at that index."""

    index: int
    term: int
    config: Config
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    term: int
    vote: str | None
    commit: int


@dataclass(frozen=True, slots=True)
class Message:
    """One message between two nodes.

    `index` and `log_term` name the last entry in votes, the entry before `entries` in appends, and in a
    refusal the entry that was refused; `hint` is the index to go on from, or a snapshot's next byte.
    `round` counts the leader's heartbeats (or is a read's number); `sent` and `echo` are ticks of the
    follower's clock, `age` those of the leader's since a quorum last confirmed it.
    """

    kind: Kind
    src: str
    dst: str
    term: int
    index: int = 0
    log_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    granted: bool = False
    hint: int = 0
    round: int = 0
    sent: int = 0
    echo: int = 0
    age: int = 0
    force: bool = False  # a vote that the leader itself has asked for: stickiness does not hold it up
    snapshot: Snapshot | None = None  # in pieces: `data` is the piece, `offset` its place in `total` bytes
    offset: int = 0
    total: int = 0


@dataclass(slots=True)
class Ready:
    """What the host does, in the order of the fields. `reads` are (number, index): answer once `index` is
    applied; `refused` are reads whose answer will not come."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)

    def empty(self) -> bool:
        return not (self.hard_state or self.snapshot or self.entries or self.messages or self.committed
                    or self.reads or self.refused)


class NotLeader(Exception):
    """What only a leader does reached another; `leader` is whom it last heard from, if anyone."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not leader; leader {leader or '?'}")
        self.leader = leader


class ChangeRefused(Exception):
    """A change of membership, or a handing over, that is not safe or makes no sense now."""
