"""Raft as a pure step function: told ticks, messages, proposals and reads; answers with a `Ready`.

The algorithm is that of Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm"
(USENIX ATC 2014), with these parts of Ongaro's dissertation, "Consensus: Bridging Theory and Practice"
(Stanford, 2014): joint consensus (§4.3), learners (§4.2.1), leadership transfer (§3.10), pre-vote (§9.6),
the leader's stickiness (§4.2.3), a leader that steps down without a quorum (§6.2), read-index (§6.4).

The host owns every side effect and carries a `Ready` out in the order of its fields: it persists, sends,
applies, then answers reads, and lets nothing in between. Nothing here does input or output or reads a
clock; time is a count of ticks, and chance is a callable handed in.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from wheatstile.store.messages import (
    ChangeRefused,
    Config,
    Entry,
    EntryKind,
    HardState,
    Kind,
    Message,
    NotLeader,
    Ready,
    Role,
    Snapshot,
)
from wheatstile.store.progress import Progress

MAX_BATCH = 256
"""Entries in one append at most."""
MAX_BATCH_BYTES = 1 << 20
"""Bytes of data in one append, after which no further entry is added."""
PIECE = 256 * 1024
"""Bytes of a snapshot in one message."""
MAX_READS = 10_000
"""Reads that wait for a confirmation at most; more are refused."""


@dataclass(frozen=True, slots=True)
class Timing:
    """In ticks. Election time-outs are drawn from [election, 2 * election)."""

    election: int = 10
    heartbeat: int = 2

    def __post_init__(self) -> None:
        if not 0 < self.heartbeat < self.election:
            raise ValueError(f"heartbeat {self.heartbeat} must be positive and below {self.election}")


@dataclass(slots=True)
class Waiting:
    """A read that waits until a quorum has answered heartbeat `round`."""

    number: int
    src: str
    index: int
    round: int


class Node:
    """One member. `voters` is the first configuration where nothing is on disk yet; a node that is to join
    starts with none. `draw(low, high)` gives an integer in [low, high), seeded by the host. `ticks` is the
    host's clock in ticks at the start: it may not repeat over restarts.
    """

    def __init__(
        self, name: str, voters: Iterable[str], draw: Callable[[int, int], int], timing: Timing = Timing(),
        hard_state: HardState | None = None, snapshot: Snapshot | None = None, entries: Iterable[Entry] = (),
        ticks: int = 0,
    ) -> None:
        self.name, self._draw, self._timing, self.ticks = name, draw, timing, ticks
        self.snap = snapshot or Snapshot(0, 0, Config(frozenset(voters)), b"")
        self.log: list[Entry] = [e for e in entries if e.index > self.snap.index]
        for offset, entry in enumerate(self.log):
            want = self.snap.index + 1 + offset
            if entry.index != want:
                raise ValueError(f"entry {offset} of the log has index {entry.index}, not {want}")
        state = hard_state or HardState(0, None, 0)
        # An entry may be on disk a moment before the term it was written in.
        self.term = max(state.term, self.last_term)
        self.vote = state.vote if state.term == self.term else None
        self.commit = max(min(state.commit, self.last_index), self.snap.index)
        self.applied = self.snap.index
        self._configs = [(self.snap.index, self.snap.config)]
        self._configs += [(e.index, e.config) for e in self.log if e.config]
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.fresh = ticks - 1_000_000  # the tick of our own clock as of which our commit is known to be true
        self._elapsed = self._heartbeat = 0
        self._timeout = self._new_timeout()
        self._votes: set[str] = set()
        self._progress: dict[str, Progress] = {}
        self._active: set[str] = set()
        self._round = self._confirmed = 0
        self._round_sent: dict[int, int] = {}  # heartbeat -> our tick when it went out
        self._reads: list[Waiting] = []
        self._asked: set[int] = set()  # our reads that the leader has not answered
        self._transfer: str | None = None
        self._transfer_left = 0
        self._incoming: tuple[int, int, bytearray] | None = None  # a snapshot on its way to us
        self._ask_round = False
        self._noop = 0  # the index of our first entry as leader
        self._ready = Ready()
        self._saved = self.hard_state

    @property
    def hard_state(self) -> HardState:
        return HardState(self.term, self.vote, self.commit)

    # -- the log --------------------------------------------------------------------------------------------

    @property
    def config(self) -> Config:
        return self._configs[-1][1]

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

    def _batch(self, first: int) -> tuple[Entry, ...]:
        start = first - self.snap.index - 1
        entries, size = self.log[start:start + MAX_BATCH], 0
        for count, entry in enumerate(entries, 1):
            size += len(entry.data)
            if size >= MAX_BATCH_BYTES:
                return tuple(entries[:count])
        return tuple(entries)

    def _append(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            self.log.append(entry)
            self._ready.entries.append(entry)
            if entry.config:
                self._configs.append((entry.index, entry.config))

    def _truncate(self, index: int) -> None:
        """Drops the entries from `index` on; the host learns of it from the next appended entry's index."""
        del self.log[index - self.snap.index - 1:]
        self._ready.entries = [e for e in self._ready.entries if e.index < index]
        while self._configs[-1][0] >= index:
            self._configs.pop()

    # -- what the host calls --------------------------------------------------------------------------------

    @property
    def age(self) -> int:
        """Ticks since when, at the most, what is committed here may have been overtaken elsewhere."""
        return self.ticks - self.fresh

    def tick(self) -> None:
        self.ticks += 1
        self._elapsed += 1
        if self.role is not Role.LEADER:
            if self._elapsed >= self._timeout and self.name in self.config.electors:
                self._campaign(pre=True)
            return
        self._heartbeat += 1
        if self._heartbeat >= self._timing.heartbeat:
            self._beat()
        if self._transfer:
            self._transfer_left -= 1
            if self._transfer_left <= 0:
                self._transfer = None  # it did not come up: lead on
        if self._elapsed >= self._timing.election:
            self._elapsed = 0
            if not self.config.quorum(self._active | {self.name}):
                self._become_follower(self.term, None)  # §6.2: a leader cut off from most steps down
            self._active = set()

    def propose(self, data: bytes) -> int:
        """Appends `data` as the leader; returns its index. Raises `NotLeader`, also while handing over."""
        return self._propose(EntryKind.DATA, data)

    def change(self, voters: Iterable[str], learners: Iterable[str] = ()) -> int:
        """Begins the change to these members, by way of both majorities; returns the index of its first
        entry. The second follows by itself once the first is committed.

        Raises `NotLeader`, or `ChangeRefused` while another change is under way, before this leader has
        committed anything, or where no voter would be left.
        """
        new = Config(frozenset(voters), learners=frozenset(learners) - frozenset(voters))
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if self.config.old or self._configs[-1][0] > self.commit:
            raise ChangeRefused("a change of members is still under way")
        if self.term_at(self.commit) != self.term:
            raise ChangeRefused("this leader has not committed anything yet")
        if not new.voters:
            raise ChangeRefused("no voter would be left")
        if new.voters != self.config.voters:
            new = replace(new, old=self.config.voters)
        return self._propose(EntryKind.CONFIG, config=new)

    def transfer(self, to: str) -> None:
        """Hands leadership to `to`, once its log is as long as ours. Raises `NotLeader`, `ChangeRefused`."""
        if self.role is not Role.LEADER:
            raise NotLeader(self.leader)
        if to == self.name or to not in self.config.voters:
            raise ChangeRefused(f"{to} is not another voter")
        self._transfer, self._transfer_left = to, self._timing.election
        self._hand_over()

    def read(self, number: int) -> None:
        """Asks from which index on a read is linearizable; the answer comes in a `Ready`, under `number`.

        Raises `NotLeader` where no leader is known. An answer that is lost never comes.
        """
        if self.role is Role.LEADER:
            self._take_read(number, self.name)
        elif self.leader is None:
            raise NotLeader(None)
        else:
            if len(self._asked) >= MAX_READS:
                raise NotLeader(self.leader)
            self._asked.add(number)
            self._send(Kind.READ, self.leader, round=number)

    def forget(self, number: int) -> None:
        """The read's answer is no longer waited for."""
        self._asked.discard(number)

    def compact(self, data: bytes) -> None:
        """Replaces the applied log by `data`, the state machine's state after its last entry."""
        index, term = self.applied, self.term_at(self.applied)
        if index == self.snap.index or term is None:
            return
        config = next(c for i, c in reversed(self._configs) if i <= index)
        self.log = self.log[index - self.snap.index:]
        self.snap = Snapshot(index, term, config, data)
        self._configs = [(index, config)] + [(i, c) for i, c in self._configs if i > index]

    def step(self, msg: Message) -> None:
        if msg.dst != self.name:
            raise ValueError(f"a message for {msg.dst} reached {self.name}")
        if msg.term > self.term:
            if msg.kind is Kind.PRE_VOTE or (msg.kind is Kind.PRE_VOTE_REPLY and msg.granted):
                pass  # a pre-vote is asked for and granted on a term that nobody has taken yet
            elif msg.kind is Kind.VOTE and self._leader_is_recent() and not msg.force:
                return  # §4.2.3: who hears from its leader lets nobody unseat it
            else:
                self._become_follower(msg.term, msg.src if msg.kind in (Kind.APPEND, Kind.SNAPSHOT) else None)
        elif msg.term < self.term:
            if msg.kind in (Kind.APPEND, Kind.SNAPSHOT, Kind.PRE_VOTE):
                # the stale leader or pre-candidate learns the newer term and stands down
                reply = Kind.PRE_VOTE_REPLY if msg.kind is Kind.PRE_VOTE else Kind.APPEND_REPLY
                self._send(reply, msg.src)
            return
        {
            Kind.PRE_VOTE: self._on_vote_request, Kind.VOTE: self._on_vote_request,
            Kind.PRE_VOTE_REPLY: self._on_vote_reply, Kind.VOTE_REPLY: self._on_vote_reply,
            Kind.APPEND: self._on_append, Kind.APPEND_REPLY: self._on_append_reply,
            Kind.SNAPSHOT: self._on_snapshot, Kind.SNAPSHOT_REPLY: self._on_snapshot_reply,
            Kind.READ: self._on_read, Kind.READ_REPLY: self._on_read_reply,
            Kind.TIMEOUT_NOW: self._on_timeout_now,
        }[msg.kind](msg)

    def ready(self) -> Ready:
        """What the host has to do now; taken once, then cleared."""
        if self.role is Role.LEADER:
            if self._ask_round:
                self._beat()
            for peer in self._peers():
                self._replicate(peer)
        ready, self._ready = self._ready, Ready()
        if self.hard_state != self._saved:
            ready.hard_state = self._saved = self.hard_state
        ready.committed = self.log[self.applied - self.snap.index:self.commit - self.snap.index]
        self.applied = self.commit
        return ready

    # -- elections ------------------------------------------------------------------------------------------

    def _new_timeout(self) -> int:
        return self._draw(self._timing.election, 2 * self._timing.election)

    def _leader_is_recent(self) -> bool:
        return self.leader is not None and self._elapsed < self._timing.election

    def _become_follower(self, term: int, leader: str | None) -> None:
        if term > self.term:
            self.term, self.vote = term, None
        self._ready.refused += [r.number for r in self._reads if r.src == self.name]
        self._reads.clear()
        self._progress.clear()
        self._transfer, self._ask_round = None, False
        self.role = Role.FOLLOWER
        self._elapsed, self._timeout = 0, self._new_timeout()
        self._follow(leader)

    def _follow(self, leader: str | None) -> None:
        if leader != self.leader:
            self._ready.refused += sorted(self._asked)
            self._asked.clear()
        self.leader = leader

    def _campaign(self, pre: bool, force: bool = False) -> None:
        self._elapsed, self._timeout = 0, self._new_timeout()
        self._follow(None)
        term = self.term + 1
        self.role = Role.PRE_CANDIDATE
        if not pre:
            self.role, self.term, self.vote = Role.CANDIDATE, term, self.name
        self._votes = {self.name}
        if self.config.quorum(self._votes):
            return self._on_won(pre)
        for peer in sorted(self.config.electors - {self.name}):
            self._send(Kind.PRE_VOTE if pre else Kind.VOTE, peer, term=term, force=force,
                       index=self.last_index, log_term=self.last_term)

    def _on_vote_request(self, msg: Message) -> None:
        up_to_date = (msg.log_term, msg.index) >= (self.last_term, self.last_index)
        if msg.kind is Kind.PRE_VOTE:
            granted = up_to_date and msg.term > self.term and not self._leader_is_recent()
            self._send(Kind.PRE_VOTE_REPLY, msg.src, term=msg.term if granted else self.term, granted=granted)
            return
        granted = up_to_date and self.vote in (None, msg.src)
        if granted:
            self.vote, self._elapsed = msg.src, 0
        self._send(Kind.VOTE_REPLY, msg.src, granted=granted)

    def _on_vote_reply(self, msg: Message) -> None:
        pre = msg.kind is Kind.PRE_VOTE_REPLY
        if self.role is not (Role.PRE_CANDIDATE if pre else Role.CANDIDATE) or not msg.granted:
            return
        if msg.term != (self.term + 1 if pre else self.term):
            return
        self._votes.add(msg.src)
        if self.config.quorum(self._votes):
            self._on_won(pre)

    def _on_won(self, pre: bool) -> None:
        if pre:
            return self._campaign(pre=False)
        self.role = Role.LEADER
        self._follow(self.name)
        self._heartbeat, self._elapsed, self._active = 0, 0, set()
        self._round = self._confirmed = 0
        self._round_sent = {0: self.ticks}
        self._progress = {peer: Progress(next=self.last_index + 1) for peer in self._peers()}
        self._noop = self._propose(EntryKind.NOOP)

    def _on_timeout_now(self, msg: Message) -> None:
        if self.name in self.config.voters and self.role is Role.FOLLOWER:
            self._campaign(pre=False, force=True)

    def _hand_over(self) -> None:
        if self._transfer and self._match(self._transfer) == self.last_index:
            self._send(Kind.TIMEOUT_NOW, self._transfer)

    # -- replication ----------------------------------------------------------------------------------------

    def _peers(self) -> list[str]:
        return sorted(self.config.members - {self.name})

    def _match(self, name: str) -> int:
        if name == self.name:
            return self.last_index
        return self._progress[name].match if name in self._progress else 0

    def _propose(self, kind: EntryKind, data: bytes = b"", config: Config | None = None) -> int:
        if self.role is not Role.LEADER or self._transfer:
            raise NotLeader(self._transfer or self.leader)
        self._append([Entry(self.term, self.last_index + 1, kind, data, config)])
        index = self.last_index
        for peer in self._peers():
            self._progress.setdefault(peer, Progress(next=self.last_index))
        self._maybe_commit()
        return index

    def _beat(self) -> None:
        """A heartbeat to all, under a new number: who answers it still took us for leader after now."""
        self._heartbeat, self._ask_round = 0, False
        self._round += 1
        self._round_sent[self._round] = self.ticks
        for peer in self._peers():
            progress = self._progress[peer]
            if progress.snapshot:
                progress.waiting = False  # a lost piece is sent again
                self._send_piece(peer)
            else:
                self._send_append(peer, ())
                progress.waiting = False
        self._maybe_confirm()

    def _replicate(self, peer: str) -> None:
        progress = self._progress[peer]
        while progress.free() and (progress.snapshot or progress.next <= self.last_index):
            if progress.snapshot is None and self.term_at(progress.next - 1) is None:
                progress.begin_snapshot(self.snap)
            if progress.snapshot:
                self._send_piece(peer)
            else:
                entries = self._batch(progress.next)
                self._send_append(peer, entries)
                progress.sending(len(entries))

    def _send_append(self, peer: str, entries: tuple[Entry, ...]) -> None:
        progress = self._progress[peer]
        # A heartbeat to one whose log we have compacted still says that we lead, from where we can.
        before = max(progress.next - 1, self.snap.index)
        self._send(Kind.APPEND, peer, index=before, log_term=self.term_at(before) or 0, entries=entries,
                   commit=self.commit, round=self._round, echo=progress.sent, age=self.age)

    def _send_piece(self, peer: str) -> None:
        progress = self._progress[peer]
        snap = progress.snapshot
        assert snap is not None
        piece = replace(snap, data=snap.data[progress.offset:progress.offset + PIECE])
        progress.waiting = True
        self._send(Kind.SNAPSHOT, peer, snapshot=piece, offset=progress.offset, total=len(snap.data),
                   round=self._round)

    def _on_append(self, msg: Message) -> None:
        self._hear(msg)
        before, before_term, entries = msg.index, msg.log_term, msg.entries
        if before < self.commit:  # what lies at or below our commit is settled
            entries = tuple(e for e in entries if e.index > self.commit)
            before, before_term = self.commit, self.term_at(self.commit) or 0
        if self.term_at(before) != before_term:
            hint = min(before - 1, self.last_index)
            while hint > self.commit and (self.term_at(hint) or 0) > before_term:
                hint -= 1  # nothing of a later term than the leader's entry can match before it
            self._send(Kind.APPEND_REPLY, msg.src, index=before, hint=hint, round=msg.round, sent=self.ticks)
            return
        for position, entry in enumerate(entries):
            known = self.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self._truncate(entry.index)
            self._append(entries[position:])
            break
        last_new = max(msg.index + len(msg.entries), before)
        self.commit = max(self.commit, min(msg.commit, last_new))
        if self.commit >= msg.commit and msg.echo:
            self.fresh = max(self.fresh, msg.echo - msg.age)
        self._send(Kind.APPEND_REPLY, msg.src, index=last_new, granted=True, round=msg.round, sent=self.ticks)

    def _hear(self, msg: Message) -> None:
        self.role, self._elapsed = Role.FOLLOWER, 0
        self._follow(msg.src)

    def _on_append_reply(self, msg: Message) -> None:
        progress = self._answered(msg)
        if progress is None:
            return
        if msg.granted:
            progress.accepted(msg.index)
            if progress.snapshot and progress.match >= progress.snapshot.index:
                progress.end_snapshot(progress.match)
            self._maybe_commit()
            self._hand_over()
        elif progress.snapshot is None:
            progress.rejected(msg.index, msg.hint)

    def _answered(self, msg: Message) -> Progress | None:
        progress = self._progress.get(msg.src) if self.role is Role.LEADER else None
        if progress is not None:
            self._active.add(msg.src)
            progress.round, progress.sent = max(progress.round, msg.round), max(progress.sent, msg.sent)
            self._maybe_confirm()
        return progress

    def _on_snapshot(self, msg: Message) -> None:
        self._hear(msg)
        piece = msg.snapshot
        assert piece is not None
        if piece.index > self.commit:
            if self._incoming is None or self._incoming[:2] != (piece.index, piece.term):
                self._incoming = (piece.index, piece.term, bytearray())
            data = self._incoming[2]
            if msg.offset == len(data):
                data += piece.data
            if len(data) < msg.total:  # resumes where it stopped, whoever leads by now
                self._send(Kind.SNAPSHOT_REPLY, msg.src, index=piece.index, hint=len(data), round=msg.round)
                return
            self._install(replace(piece, data=bytes(data)))
        self._incoming = None
        self._send(Kind.SNAPSHOT_REPLY, msg.src, index=self.commit, granted=True, round=msg.round)

    def _install(self, snap: Snapshot) -> None:
        fits = self.term_at(snap.index) == snap.term
        self.log = [e for e in self.log if e.index > snap.index] if fits else []
        self.snap, self.commit, self.applied = snap, snap.index, snap.index
        self._configs = [(snap.index, snap.config)] + [(e.index, e.config) for e in self.log if e.config]
        self._ready.snapshot = snap
        self._ready.entries = [e for e in self._ready.entries if e.index > snap.index and fits]

    def _on_snapshot_reply(self, msg: Message) -> None:
        progress = self._answered(msg)
        if progress is None or progress.snapshot is None:
            return
        if msg.granted:
            progress.end_snapshot(msg.index)
            self._maybe_commit()
        elif msg.index == progress.snapshot.index:
            progress.offset, progress.waiting = msg.hint, False

    def _maybe_commit(self) -> None:
        agreed = self.config.agreed(self._match)
        if agreed <= self.commit or self.term_at(agreed) != self.term:
            return  # only an entry of its own term is counted (§5.4.2)
        self.commit = agreed
        self._maybe_confirm()
        if self._configs[-1][0] > self.commit:
            return
        if self.config.old:
            self._transfer = None
            self._propose(EntryKind.CONFIG, config=replace(self.config, old=frozenset()))
        elif self.name not in self.config.voters:
            self._beat()  # the others learn that it is committed
            self._become_follower(self.term, None)  # removed: stand down

    # -- reads (§6.4) ---------------------------------------------------------------------------------------

    def _take_read(self, number: int, src: str) -> None:
        if len(self._reads) >= MAX_READS:
            if src == self.name:
                self._ready.refused.append(number)
            return
        # Confirmed by a heartbeat that goes out after now; all reads of one `Ready` share it. Until something
        # of this term is committed, the commit may lag behind what earlier leaders had answered for.
        self._reads.append(Waiting(number, src, max(self.commit, self._noop), self._round + 1))
        self._ask_round = True

    def _on_read(self, msg: Message) -> None:
        if self.role is Role.LEADER:
            self._take_read(msg.round, msg.src)

    def _on_read_reply(self, msg: Message) -> None:
        if msg.round in self._asked:
            self._asked.discard(msg.round)
            self._ready.reads.append((msg.round, msg.index))

    def _maybe_confirm(self) -> None:
        """Answers the reads whose heartbeat a quorum has answered."""
        rounds = {name: p.round for name, p in self._progress.items()} | {self.name: self._round}
        self._confirmed = max(self._confirmed, self.config.agreed(lambda name: rounds.get(name, 0)))
        done = [r for r in self._round_sent if r <= self._confirmed]
        sent = max((self._round_sent.pop(r) for r in done), default=self.fresh)
        if self.term_at(self.commit) != self.term:
            return  # the commit may lag behind what earlier leaders answered for
        self.fresh = max(self.fresh, sent)
        kept = []
        for read in self._reads:
            if read.round > self._confirmed:
                kept.append(read)
            elif read.src == self.name:
                self._ready.reads.append((read.number, read.index))
            else:
                self._send(Kind.READ_REPLY, read.src, index=read.index, round=read.number)
        self._reads = kept

    def _send(self, kind: Kind, to: str, **fields: object) -> None:
        term = fields.pop("term", self.term)
        self._ready.messages.append(Message(kind, self.name, to, term, **fields))  # type: ignore[arg-type]
