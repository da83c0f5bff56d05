"""Raft as a pure step function: told ticks, messages and proposals; answers with a `Ready`.

The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(USENIX ATC 2014), with three parts of Ongaro's dissertation "Consensus: Bridging Theory and Practice"
(Stanford, 2014): membership changed one voter at a time (§4.1), pre-vote and the leader's stickiness
against disruptive servers (§9.6, §4.2.3), and a leader that steps down when it has not heard from a
quorum for an election time-out (§6.2).

The host owns every side effect and carries a `Ready` out in this order: persist `hard_state`,
`snapshot` and `entries` (truncating the log at the first entry's index), then send `messages`, then
apply `committed`. Nothing here does input or output or reads a clock; time is a count of ticks, and
chance is a callable handed in.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

MAX_BATCH = 64
"""Entries in one append message at most; a follower far behind is brought up in batches of this size."""


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


class EntryKind(enum.Enum):
    NOOP = "noop"  # a new leader's first entry, so that it may commit what earlier terms left
    DATA = "data"
    CONFIG = "config"  # `voters` becomes the configuration as soon as it is in the log (dissertation §4.1)


@dataclass(frozen=True, slots=True)
class Entry:
    term: int
    index: int
    kind: EntryKind
    data: bytes = b""
    voters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The applied state up to `index` (whose entry had `term`), and the voters in force at that index."""

    index: int
    term: int
    voters: frozenset[str]
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    term: int
    vote: str | None
    commit: int


@dataclass(frozen=True, slots=True)
class Message:
    """One message between two nodes. `index` and `log_term` are the last entry for votes, and
    the entry before `entries` for appends; `reject_hint` is the follower's last index when it refuses
    an append."""

    kind: Kind
    src: str
    dst: str
    term: int
    index: int = 0
    log_term: int = 0
    entries: tuple[Entry, ...] = ()
    commit: int = 0
    granted: bool = False
    reject_hint: int = 0
    snapshot: Snapshot | None = None


@dataclass(slots=True)
class Ready:
    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)

    def empty(self) -> bool:
        return not (self.hard_state or self.snapshot or self.entries or self.messages or self.committed)


class NotLeader(Exception):
    """A proposal reached a node that is not leader; `leader` is whom it last heard from, if anyone."""

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; the leader is {leader or 'not known'}")
        self.leader = leader


class ChangeRefused(Exception):
    """A change of membership that would not be safe now: one is still uncommitted, or it changes
    two voters."""


@dataclass(frozen=True, slots=True)
class Timing:
    """In ticks. Election time-outs are drawn from [election, 2 * election); heartbeats every
    `heartbeat`."""

    election: int = 10
    heartbeat: int = 2

    def __post_init__(self) -> None:
        if not 0 < self.heartbeat < self.election:
            raise ValueError(f"heartbeat {self.heartbeat} must be positive and below {self.election}")


class Node:
    """One member. `voters` is the first configuration when the log is empty; a durable
    `hard_state`, `snapshot` and `entries` go before it.

    `draw(low, high)` returns an integer in [low, high); it is seeded by the host, so that every run replays.
    """

    def __init__(
        self, name: str, voters: Iterable[str], draw: Callable[[int, int], int], timing: Timing = Timing(),
        hard_state: HardState | None = None, snapshot: Snapshot | None = None, entries: Iterable[Entry] = (),
    ) -> None:
        self.name = name
        self._draw = draw
        self._timing = timing
        self.term = hard_state.term if hard_state else 0
        self.vote = hard_state.vote if hard_state else None
        self.snap = snapshot or Snapshot(0, 0, frozenset(voters), b"")
        self.log: list[Entry] = [e for e in entries if e.index > self.snap.index]
        for offset, entry in enumerate(self.log):
            if entry.index != self.snap.index + 1 + offset:
                want = self.snap.index + 1 + offset
                raise ValueError(f"entry {offset} of the log has index {entry.index}, not {want}")
        self.commit = max(hard_state.commit if hard_state else 0, self.snap.index)
        self.applied = self.snap.index
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.voters = self._config_from_log()
        self._elapsed = 0
        self._timeout = self._new_timeout()
        self._heartbeat_elapsed = 0
        self._votes: set[str] = set()
        self._next: dict[str, int] = {}
        self._match: dict[str, int] = {}
        self._active: set[str] = set()
        self._ready = Ready()
        self._saved = HardState(self.term, self.vote, self.commit)

    # -- the log --------------------------------------------------------------------------------------------

    @property
    def last_index(self) -> int:
        return self.log[-1].index if self.log else self.snap.index

    @property
    def last_term(self) -> int:
        return self.log[-1].term if self.log else self.snap.term

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None when it is compacted away or not there yet."""
        if index == self.snap.index:
            return self.snap.term
        if index < self.snap.index or index > self.last_index:
            return None
        return self.log[index - self.snap.index - 1].term

    def entries_from(self, index: int, limit: int = MAX_BATCH) -> tuple[Entry, ...]:
        start = index - self.snap.index - 1
        return tuple(self.log[max(start, 0):max(start, 0) + limit])

    def _config_from_log(self) -> frozenset[str]:
        for entry in reversed(self.log):
            if entry.kind is EntryKind.CONFIG:
                return entry.voters
        return self.snap.voters

    def _append(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self.log.append(entry)
            self._ready.entries.append(entry)
            if entry.kind is EntryKind.CONFIG:
                self.voters = entry.voters

    def _truncate(self, index: int) -> None:
        """Drops the entries from `index` on; the host learns of it from the next appended entry's index."""
        del self.log[index - self.snap.index - 1:]
        self._ready.entries = [e for e in self._ready.entries if e.index < index]
        self.voters = self._config_from_log()

    # -- what the host calls --------------------------------------------------------------------------------

    def tick(self) -> None:
        self._elapsed += 1
        if self.role is Role.LEADER:
            self._heartbeat_elapsed += 1
            if self._heartbeat_elapsed >= self._timing.heartbeat:
                self._heartbeat_elapsed = 0
                self._broadcast_append(heartbeat=True)
            if self._elapsed >= self._timing.election:
                self._elapsed = 0
                if not self._has_quorum(self._active | {self.name}):
                    self._become_follower(self.term, None)  # §6.2: a leader cut off from most steps down
                self._active = set()
        elif self._elapsed >= self._timeout and self.name in self.voters:
            self._campaign(pre=True)

    def propose(self, data: bytes) -> int:
        """Appends `data` as the leader; returns its index. Raises `NotLeader`."""
        return self._propose(EntryKind.DATA, data=data)

    def change_voters(self, voters: frozenset[str]) -> int:
        """Proposes a new set of voters that differs by one from the current one; returns its index.

        Raises `NotLeader`, or `ChangeRefused` while another change is uncommitted or when it
        differs by more."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if any(e.kind is EntryKind.CONFIG and e.index > self.commit for e in self.log):
            raise ChangeRefused("a change of voters is still uncommitted")
        if len(voters ^ self.voters) != 1:
            raise ChangeRefused(f"{sorted(self.voters)} to {sorted(voters)} is not one voter more or less")
        return self._propose(EntryKind.CONFIG, voters=voters)

    def compact(self, index: int, data: bytes) -> None:
        """Replaces the applied log up to `index` by `data`, the state machine's state after that index."""
        if not self.snap.index < index <= self.applied:
            raise ValueError(f"compaction to {index} must lie after {self.snap.index} and by {self.applied}")
        term = self.term_at(index)
        assert term is not None
        kept = [e for e in self.log if e.index <= index]
        voters = next((e.voters for e in reversed(kept) if e.kind is EntryKind.CONFIG), self.snap.voters)
        self.snap = Snapshot(index, term, voters, data)
        self.log = self.log[index - self.log[0].index + 1:] if self.log else []

    def step(self, msg: Message) -> None:
        if msg.dst != self.name:
            raise ValueError(f"a message for {msg.dst} reached {self.name}")
        if msg.term > self.term:
            if msg.kind is Kind.PRE_VOTE or (msg.kind is Kind.PRE_VOTE_REPLY and msg.granted):
                pass  # a pre-vote is asked for and granted on a term that nobody has taken yet
            elif msg.kind is Kind.VOTE and self._leader_is_recent():
                return  # §4.2.3: a server that hears from its leader does not let another unseat it
            else:
                leader = msg.src if msg.kind in (Kind.APPEND, Kind.SNAPSHOT) else None
                self._become_follower(msg.term, leader)
        elif msg.term < self.term:
            if msg.kind in (Kind.APPEND, Kind.SNAPSHOT, Kind.PRE_VOTE):
                # the stale leader or pre-candidate learns the newer term and stands down
                reply = Kind.PRE_VOTE_REPLY if msg.kind is Kind.PRE_VOTE else Kind.APPEND_REPLY
                self._send(Message(reply, self.name, msg.src, self.term, reject_hint=self.last_index))
            return
        handler = {
            Kind.PRE_VOTE: self._on_vote_request, Kind.VOTE: self._on_vote_request,
            Kind.PRE_VOTE_REPLY: self._on_vote_reply, Kind.VOTE_REPLY: self._on_vote_reply,
            Kind.APPEND: self._on_append, Kind.APPEND_REPLY: self._on_append_reply,
            Kind.SNAPSHOT: self._on_snapshot, Kind.SNAPSHOT_REPLY: self._on_append_reply,
        }[msg.kind]
        handler(msg)

    def ready(self) -> Ready:
        """What the host has to do now, in the order of the fields; taken once, then cleared."""
        ready, self._ready = self._ready, Ready()
        state = HardState(self.term, self.vote, self.commit)
        if state != self._saved:
            ready.hard_state, self._saved = state, state
        if self.commit > self.applied and ready.snapshot is None:
            ready.committed = [e for e in self.log if self.applied < e.index <= self.commit]
        self.applied = max(self.applied, self.commit)
        return ready

    # -- elections ------------------------------------------------------------------------------------------

    def _new_timeout(self) -> int:
        return self._draw(self._timing.election, 2 * self._timing.election)

    def _leader_is_recent(self) -> bool:
        return self.leader is not None and self._elapsed < self._timing.election

    def _has_quorum(self, names: set[str]) -> bool:
        return len(names & self.voters) * 2 > len(self.voters)

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
        self.role, self.leader = Role.FOLLOWER, leader
        self._elapsed, self._timeout = 0, self._new_timeout()

    def _campaign(self, pre: bool) -> None:
        self._elapsed, self._timeout = 0, self._new_timeout()
        self.leader = None
        if pre:
            self.role = Role.PRE_CANDIDATE
            term = self.term + 1
        else:
            self.role = Role.CANDIDATE
            self.term, self.vote = self.term + 1, self.name
            term = self.term
        self._votes = {self.name}
        if self._has_quorum(self._votes):
            self._on_won(pre)
            return
        kind = Kind.PRE_VOTE if pre else Kind.VOTE
        for peer in sorted(self.voters - {self.name}):
            self._send(Message(kind, self.name, peer, term, index=self.last_index, log_term=self.last_term))

    def _on_vote_request(self, msg: Message) -> None:
        up_to_date = (msg.log_term, msg.index) >= (self.last_term, self.last_index)
        if msg.kind is Kind.PRE_VOTE:
            granted = up_to_date and msg.term > self.term and not self._leader_is_recent()
            self._send(Message(Kind.PRE_VOTE_REPLY, self.name, msg.src, msg.term if granted else self.term,
                               granted=granted))
            return
        granted = up_to_date and self.vote in (None, msg.src)
        if granted:
            self.vote = msg.src
            self._elapsed = 0
        self._send(Message(Kind.VOTE_REPLY, self.name, msg.src, self.term, granted=granted))

    def _on_vote_reply(self, msg: Message) -> None:
        pre = msg.kind is Kind.PRE_VOTE_REPLY
        if self.role is not (Role.PRE_CANDIDATE if pre else Role.CANDIDATE):
            return
        if pre and msg.term != self.term + 1:
            return  # an answer that refused it on our own term; a newer term has made us follower already
        if msg.granted:
            self._votes.add(msg.src)
            if self._has_quorum(self._votes):
                self._on_won(pre)

    def _on_won(self, pre: bool) -> None:
        if pre:
            self._campaign(pre=False)
            return
        self.role, self.leader = Role.LEADER, self.name
        self._heartbeat_elapsed, self._elapsed, self._active = 0, 0, set()
        for peer in self.voters | set(self._next):
            self._next[peer], self._match[peer] = self.last_index + 1, 0
        self._propose(EntryKind.NOOP)

    # -- replication ----------------------------------------------------------------------------------------

    def _propose(self, kind: EntryKind, data: bytes = b"", voters: frozenset[str] = frozenset()) -> int:
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        entry = Entry(self.term, self.last_index + 1, kind, data, voters)
        self._append([entry])
        for peer in self.voters - set(self._next):
            self._next[peer], self._match[peer] = self.snap.index + 1, 0  # a newcomer starts from the start
        self._match[self.name] = self.last_index
        self._maybe_commit()
        self._broadcast_append(heartbeat=False)
        return entry.index

    def _broadcast_append(self, heartbeat: bool) -> None:
        for peer in sorted(self.voters - {self.name}):
            if heartbeat or self._next.get(peer, 0) <= self.last_index:
                self._send_append(peer)

    def _send_append(self, peer: str) -> None:
        nxt = self._next.setdefault(peer, self.last_index + 1)
        prev_term = self.term_at(nxt - 1)
        if prev_term is None:
            self._send(Message(Kind.SNAPSHOT, self.name, peer, self.term, snapshot=self.snap))
            return
        entries = self.entries_from(nxt)
        self._send(Message(Kind.APPEND, self.name, peer, self.term, index=nxt - 1, log_term=prev_term,
                           entries=entries, commit=self.commit))

    def _on_append(self, msg: Message) -> None:
        self.role, self.leader, self._elapsed = Role.FOLLOWER, msg.src, 0
        if msg.index < self.commit:
            # what lies at or below our commit is settled; skip it
            entries = tuple(e for e in msg.entries if e.index > self.commit)
            msg = replace(msg, index=self.commit, log_term=self.term_at(self.commit) or 0, entries=entries)
        if self.term_at(msg.index) != msg.log_term:
            self._send(Message(Kind.APPEND_REPLY, self.name, msg.src, self.term,
                               reject_hint=min(msg.index - 1, self.last_index)))
            return
        for position, entry in enumerate(msg.entries):
            known = self.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self._truncate(entry.index)
            self._append(msg.entries[position:])
            break
        last_new = msg.index + len(msg.entries)
        self.commit = max(self.commit, min(msg.commit, last_new))
        self._send(Message(Kind.APPEND_REPLY, self.name, msg.src, self.term, index=last_new, granted=True))

    def _on_snapshot(self, msg: Message) -> None:
        self.role, self.leader, self._elapsed = Role.FOLLOWER, msg.src, 0
        snap = msg.snapshot
        assert snap is not None
        if snap.index > self.commit:
            if self.term_at(snap.index) == snap.term:
                self.log = [e for e in self.log if e.index > snap.index]
            else:
                self.log = []
            self.snap, self.commit, self.applied = snap, snap.index, snap.index
            self.voters = self._config_from_log()
            self._ready.snapshot = snap
            self._ready.entries = [e for e in self._ready.entries if e.index > snap.index]
        reply = Message(Kind.SNAPSHOT_REPLY, self.name, msg.src, self.term, index=self.commit, granted=True)
        self._send(reply)

    def _on_append_reply(self, msg: Message) -> None:
        if self.role is not Role.LEADER:
            return
        self._active.add(msg.src)
        if msg.granted:
            if msg.index > self._match.get(msg.src, 0):
                self._match[msg.src] = msg.index
            self._next[msg.src] = max(self._next.get(msg.src, 0), msg.index + 1)
            self._maybe_commit()
        else:
            self._next[msg.src] = max(1, min(self._next.get(msg.src, 1) - 1, msg.reject_hint + 1))
        if self._next[msg.src] <= self.last_index or not msg.granted:
            self._send_append(msg.src)

    def _maybe_commit(self) -> None:
        self._match[self.name] = self.last_index
        matched = sorted((self._match.get(v, 0) for v in self.voters), reverse=True)
        quorum_index = matched[len(matched) // 2]
        if quorum_index > self.commit and self.term_at(quorum_index) == self.term:
            self.commit = quorum_index  # only an entry of its own term is counted (§5.4.2)
            if self.name not in self.voters and self.commit >= self._last_config_index():
                self._become_follower(self.term, None)  # removed, and the removal is committed: stand down

    def _last_config_index(self) -> int:
        return next((e.index for e in reversed(self.log) if e.kind is EntryKind.CONFIG), 0)

    def _send(self, msg: Message) -> None:
        self._ready.messages.append(msg)
