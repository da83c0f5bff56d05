"""Raft nodes in one test, in virtual time under one seed: loss, repeats, delays, reordering, one-way cuts,
pauses, crashes that keep what was persisted, changes of members, hand-overs; checked over their histories.

A failing seed replays with `WHEATSTILE_SEEDS=N-N pytest tests/store/test_raft.py`; `WHEATSTILE_SEEDS=0-9999`
is the long run.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace

import pytest

from wheatstile.store import raft
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
from wheatstile.store.raft import Node, Timing

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "0-199").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)


class Broken(AssertionError):
    """A rule of Raft does not hold."""


@dataclass
class Disk:
    """What a node has persisted; a crash keeps this and loses the rest."""

    hard: HardState | None = None
    snap: Snapshot | None = None
    log: list[Entry] = field(default_factory=list)


class Cluster:
    """Five nodes, of which `voters` begin. The state machine is the list of all applied data."""

    def __init__(self, seed: int, voters: int = 3, names: str = "abcde", compact_every: int = 25) -> None:
        self.rng = random.Random(seed)
        self.names, self.compact_every = names, compact_every
        self.voters = names[:voters]
        self.disks = {n: Disk() for n in names}
        self.down: set[str] = set()
        self.paused: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.flight: list[tuple[int, int, Message]] = []
        self.now, self.faults = 0, True
        self.leaders: dict[int, str] = {}
        self.truth: dict[int, bytes] = {}  # index -> what was applied there, by whoever was first
        self.state: dict[str, list[int]] = {n: [] for n in names}  # indices applied, in order
        self.reads: dict[tuple[str, int], int] = {}  # -> the highest index applied anywhere when it was asked
        self.answered = self.refused = self.restored = 0
        self.acknowledged: set[bytes] = set()
        self.nodes = {n: self.start(n) for n in names}

    def start(self, name: str) -> Node:
        disk = self.disks[name]
        node = Node(name, self.voters if name in self.voters else (), self.rng.randrange, Timing(10, 2),
                    disk.hard, disk.snap, disk.log, ticks=self.now)
        self.state[name] = list(range(1, node.applied + 1))
        return node

    def carry_out(self, name: str) -> None:
        node, disk = self.nodes[name], self.disks[name]
        ready = node.ready()
        roll = self.rng.random() if self.faults else 1.0
        if roll < 0.002:
            return self.crash(name)  # before anything is persisted
        self.persist(disk, ready)
        if roll < 0.004:
            return self.crash(name)  # persisted, and nothing said
        if ready.snapshot:
            self.restored += 1
            self.state[name] = [int(i) for i in ready.snapshot.data.split()]
        for msg in ready.messages:
            late = self.rng.choice((0, 0, 1, 1, 2, 6))
            self.flight.append((self.now + late, self.rng.getrandbits(30), msg))
            if self.rng.random() < 0.03:
                self.flight.append((self.now + self.rng.randrange(20), 0, msg))  # twice, one of them late
        for entry in ready.committed:
            self.applied(name, entry)
        for number, index in ready.reads:
            if node.applied >= index:  # else its host would wait; here it counts when it can be answered
                self.answered += 1
                if node.applied < (known := self.reads[name, number]):
                    raise Broken(f"{name} answered a read at {node.applied}, {known} known")
        self.refused += len(ready.refused)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, name) != name:
            raise Broken(f"term {node.term} was led by {self.leaders[node.term]} and {name}")
        if node.applied - node.snap.index >= self.compact_every:
            node.compact(" ".join(map(str, self.state[name])).encode())
            disk.snap, disk.log = node.snap, list(node.log)

    @staticmethod
    def persist(disk: Disk, ready: Ready) -> None:
        if ready.snapshot:
            disk.snap, disk.log = ready.snapshot, []
        if ready.entries:
            disk.log = [e for e in disk.log if e.index < ready.entries[0].index] + ready.entries
        disk.hard = ready.hard_state or disk.hard

    def applied(self, name: str, entry: Entry) -> None:
        if self.state[name] and entry.index != self.state[name][-1] + 1:
            raise Broken(f"{name} applied {entry.index} after {self.state[name][-1]}")
        if self.truth.setdefault(entry.index, entry.data) != entry.data:
            raise Broken(f"{name} applied {entry.data!r} at {entry.index}, not {self.truth[entry.index]!r}")
        self.state[name].append(entry.index)
        self.acknowledged.add(entry.data)

    def crash(self, name: str) -> None:
        self.down.add(name)

    def step(self) -> None:
        self.now += 1
        due = sorted((f for f in self.flight if f[0] <= self.now), key=lambda f: f[:2])
        self.flight = [f for f in self.flight if f[0] > self.now]
        for _, _, msg in due:
            if msg.dst in self.down or (msg.src, msg.dst) in self.cut or self.rng.random() < 0.04:
                continue
            if msg.dst in self.paused:
                self.flight.append((self.now + 1, 0, msg))
                continue
            self.nodes[msg.dst].step(msg)
        for name in self.names:
            if name not in self.down | self.paused:
                while self.nodes[name].ticks < self.now:
                    self.nodes[name].tick()
                self.carry_out(name)

    def fault(self) -> None:
        rng, victim = self.rng, self.rng.choice(self.names)
        match rng.randrange(300):
            case 0 | 1 if len(self.down) < 2:
                self.crash(victim)
            case 2 | 3 | 4 | 5 | 6 | 7 if self.down:
                self.revive(rng.choice(sorted(self.down)))
            case 8 if not self.paused:
                self.paused.add(victim)
            case 9 | 10 | 11:
                self.paused.clear()
            case 12 | 13:
                self.cut.add((victim, rng.choice(self.names)))  # one way
            case 14:
                self.cut |= {(victim, n) for n in self.names} | {(n, victim) for n in self.names}
            case 15 | 16 | 17 | 18:
                self.cut.clear()
            case 19:
                for name in list(self.down)[:2]:
                    self.revive(name)
            case 20 | 21 | 22:
                self.change()
            case 23:
                with suppress(NotLeader, ChangeRefused):
                    self.nodes[victim].transfer(rng.choice(self.names))

    def change(self) -> None:
        wanted = self.rng.sample(self.names, self.rng.choice((1, 3, 3, 4, 5)))
        for node in self.nodes.values():
            with suppress(NotLeader, ChangeRefused):
                if node.name not in self.down:
                    node.change(wanted, self.rng.sample(self.names, 1))

    def revive(self, name: str) -> None:
        self.down.discard(name)
        self.nodes[name] = self.start(name)

    def ask(self, i: int) -> None:
        """A write at every leader (there may be a stale one), and a read anywhere."""
        for node in self.nodes.values():
            if node.name not in self.down | self.paused:
                with suppress(NotLeader):
                    node.propose(f"{node.name}{i}".encode())
        reader = self.rng.choice(self.names)
        if reader not in self.down | self.paused:
            self.reads[reader, i] = max(self.truth, default=0)
            with suppress(NotLeader):
                self.nodes[reader].read(i)

    def heal(self) -> None:
        self.faults = False
        self.cut.clear()
        self.paused.clear()
        for name in sorted(self.down):
            self.revive(name)

    def check_logs(self) -> None:
        """Log matching: where two logs agree on an index and a term, they agree on all before."""
        logs = [{e.index: e for e in n.log} for n in self.nodes.values()]
        for a in logs:
            for b in logs:
                same = [i for i in a if i in b and a[i].term == b[i].term]
                if same and any(a[i] != b[i] for i in a if i in b and i <= max(same)):
                    raise Broken(f"logs differ before {max(same)}")


def run(seed: int, steps: int = 500, voters: int = 0) -> Cluster:
    cluster = Cluster(seed, voters or (3, 5, 3, 4)[seed % 4])
    for i in range(steps):
        cluster.fault()
        if i % 5 == 0:
            cluster.ask(i)
        cluster.step()
        if i % 50 == 0:
            cluster.check_logs()
    cluster.heal()
    for i in range(steps, steps + 400):
        if i % 20 == 0:
            cluster.ask(i)
        cluster.step()
    return cluster


def test_histories_under_faults() -> None:
    answered = restored = 0
    for seed in SEEDS:
        try:
            cluster = run(seed)
            leaders = [n for n in cluster.nodes.values() if n.role is Role.LEADER]
            newest = max(leaders, key=lambda n: n.term, default=None)
            assert newest, f"seed {seed}: nobody leads after healing"
            for name in newest.config.members - cluster.down:
                behind = newest.commit - cluster.nodes[name].commit
                assert behind < 100, f"seed {seed}: {name} is {behind} behind after healing"
        except Broken as broken:
            raise AssertionError(f"seed {seed}: {broken}") from broken
        answered, restored = answered + cluster.answered, restored + cluster.restored
    assert answered > len(SEEDS) * 20 and restored > len(SEEDS) / 10, "the schedules hardly read or restored"


def _vote_not_kept(disk: Disk, ready: Ready) -> None:
    if ready.hard_state:
        ready = replace(ready, hard_state=replace(ready.hard_state, vote=None))
    keep(disk, ready)


def _entries_not_kept(disk: Disk, ready: Ready) -> None:
    keep(disk, replace(ready, entries=ready.entries[:-1]))


def _any_commit(node: Node) -> None:
    agreed = node.config.agreed(node._match)
    node.commit = max(node.commit, agreed)
    node._maybe_confirm()


def _read_at_once(node: Node, number: int, src: str) -> None:
    if src == node.name:
        node._ready.reads.append((number, node.commit))


def _read_before_noop(node: Node, number: int, src: str) -> None:
    node._reads.append(raft.Waiting(number, src, 0, 0))
    node._ask_round = True


def _votes_for_all(node: Node, msg: Message) -> None:
    reply = Kind.PRE_VOTE_REPLY if msg.kind is Kind.PRE_VOTE else Kind.VOTE_REPLY
    if msg.kind is Kind.VOTE:
        node.vote = msg.src
    node._send(reply, msg.src, term=msg.term, granted=True)


def _votes_for_short_logs(node: Node, msg: Message) -> None:
    on_vote(node, replace(msg, log_term=1 << 30))


def _no_comparison(node: Node, msg: Message) -> None:
    found = node.term_at(msg.index)
    on_append(node, msg if found is None else replace(msg, log_term=found))


def _one_majority(config: Config, names: frozenset[str]) -> bool:
    return len(names & config.voters) * 2 > len(config.voters)


def _forced_installs(node: Node, snap: Snapshot) -> None:
    install(node, replace(snap, index=snap.index + 1))


keep = Cluster.persist
on_vote, on_append, install = Node._on_vote_request, Node._on_append, Node._install


def histories() -> None:
    for seed in range(400):
        run(seed)


def both_majorities_are_asked() -> None:
    config = Config(frozenset("cde"), frozenset("abc"))
    if config.quorum({"c", "d", "e"}) or config.quorum({"a", "b", "c"}) or not config.quorum({"b", "c", "d"}):
        raise Broken("a change is decided by one side")


def an_older_terms_entry_waits() -> None:
    """Figure 8 of the paper: a majority holds entry 2, of term 2, and it may still be overwritten."""
    node = Node("a", "abcde", random.Random(1).randrange, hard_state=HardState(3, None, 0),
                entries=[Entry(1, 1, EntryKind.DATA), Entry(2, 2, EntryKind.DATA)])
    for kind in (Kind.PRE_VOTE_REPLY, Kind.VOTE_REPLY):
        while kind is Kind.PRE_VOTE_REPLY and node.role is Role.FOLLOWER:
            node.tick()
        for voter in "bc":
            node.step(Message(kind, voter, "a", 4, granted=True))
    assert node.role is Role.LEADER and node.term == 4
    for index, commit in ((2, 0), (3, 3)):
        for voter in "bc":
            node.step(Message(Kind.APPEND_REPLY, voter, "a", 4, index=index, granted=True))
        if node.commit != commit:
            raise Broken(f"entry {index} at a majority: commit is {node.commit}, not {commit}")


def a_vote_outlives_a_crash() -> None:
    disk = Disk()
    for candidate, granted in (("b", True), ("c", False)):
        node = Node("a", "abc", random.Random(1).randrange, hard_state=disk.hard)
        node.step(Message(Kind.VOTE, candidate, "a", 5))
        ready = node.ready()
        Cluster.persist(disk, ready)
        if ready.messages[0].granted is not granted:
            raise Broken(f"{candidate}, asking in term 5, was answered {not granted}")


def test_what_random_histories_hardly_meet() -> None:
    a_vote_outlives_a_crash()
    both_majorities_are_asked()
    an_older_terms_entry_waits()

MUTATIONS = [
    ("a vote is not kept", Cluster, "persist", staticmethod(_vote_not_kept), a_vote_outlives_a_crash),
    ("the last entry is not kept", Cluster, "persist", staticmethod(_entries_not_kept), histories),
    ("one vote is a quorum", Config, "quorum", lambda self, names: bool(names & self.electors), histories),
    ("old voters are not asked", Config, "quorum", _one_majority, both_majorities_are_asked),
    ("one member's word commits", Config, "agreed", lambda self, v: max(map(v, self.electors)), histories),
    ("an older term's entry is counted", Node, "_maybe_commit", _any_commit, an_older_terms_entry_waits),
    ("reads are answered unasked", Node, "_take_read", _read_at_once, histories),
    ("reads are answered without a round", Node, "_take_read", _read_before_noop, histories),
    ("a vote is given twice", Node, "_on_vote_request", _votes_for_all, histories),
    ("a shorter log gets the vote", Node, "_on_vote_request", _votes_for_short_logs, histories),
    ("the entry before is not compared", Node, "_on_append", _no_comparison, histories),
    ("a snapshot counts for more than it holds", Node, "_install", _forced_installs, histories),
]


@pytest.mark.parametrize("mutation", [pytest.param(m[1:], id=m[0]) for m in MUTATIONS])
def test_a_fault_in_the_core_is_caught(
    monkeypatch: pytest.MonkeyPatch, mutation: tuple[type, str, object, Callable[[], None]],
) -> None:
    target, name, fault, check = mutation
    monkeypatch.setattr(target, name, fault)
    with pytest.raises(Broken):
        check()


def test_a_change_needs_both_majorities_and_one_at_a_time() -> None:
    cluster = Cluster(7, voters=3)
    cluster.heal()
    while not (led := [n for n in cluster.nodes.values() if n.role is Role.LEADER and n.commit]):
        cluster.step()
    leader = led[0]
    leader.change("cde")
    with pytest.raises(ChangeRefused, match="under way"):
        leader.change("abc")
    assert leader.config.old == frozenset("abc")
    for _ in range(200):
        cluster.step()
    led = [n for n in cluster.nodes.values() if n.role is Role.LEADER and n.name in "cde"]
    assert led and led[0].config == Config(frozenset("cde")), "the change did not come to its end"


def test_a_cut_off_follower_tells_its_age() -> None:
    cluster = Cluster(3, voters=3)
    cluster.heal()
    for _ in range(100):
        cluster.step()
    leader = next(n for n in cluster.nodes.values() if n.role is Role.LEADER)
    follower = next(n for n in cluster.nodes.values() if n.name in "abc" and n is not leader)
    assert follower.age < 20 and leader.age < 20
    cluster.cut.add((leader.name, follower.name))
    before = follower.age
    for _ in range(60):
        cluster.step()
    assert follower.age >= before + 50, "what nobody told it cannot be fresh"


def test_progress_goes_back_on_a_refusal_and_keeps_its_window() -> None:
    progress = Progress(next=10)
    progress.sending(3)
    assert not progress.free()
    assert progress.rejected(9, 4) and progress.next == 5
    progress.accepted(4)
    for _ in range(64):
        if progress.free():
            progress.sending(2)
    assert len(progress.inflight) == 32 and not progress.free()
    progress.accepted(10)
    assert progress.free() and progress.match == 10
    assert not progress.rejected(7, 3), "news of the past"


def test_a_log_with_a_gap_is_refused() -> None:
    with pytest.raises(ValueError, match="index 5, not 1"):
        Node("a", "abc", random.Random(1).randrange, entries=[Entry(1, 5, EntryKind.NOOP)])
