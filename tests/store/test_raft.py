"""Five Raft nodes in one test, under seeded loss, delay, cuts and crashes, checked over their histories.

A failing seed replays with `pytest tests/store/test_raft.py -k SEED` or by `cluster_run(SEED)`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from wheatstile.store.raft import (
    ChangeRefused,
    Entry,
    HardState,
    Message,
    Node,
    NotLeader,
    Role,
    Snapshot,
    Timing,
)

NAMES = ("a", "b", "c", "d", "e")


@dataclass
class Disk:
    """What a node has persisted; a crash keeps this and loses the rest."""

    hard: HardState | None = None
    snap: Snapshot | None = None
    log: list[Entry] = field(default_factory=list)
    applied: list[tuple[int, bytes]] = field(default_factory=list)


@dataclass
class History:
    leaders: dict[int, set[str]] = field(default_factory=dict)  # term -> who was leader in it
    applied: dict[str, list[tuple[int, bytes]]] = field(default_factory=dict)


class Cluster:
    def __init__(self, seed: int, names: tuple[str, ...] = NAMES, compact_every: int = 0) -> None:
        self.rng = random.Random(seed)
        self.names = names
        self.disks = {n: Disk() for n in names}
        self.nodes = {n: self._start(n) for n in names}
        self.down: set[str] = set()
        self.cut: set[tuple[str, str]] = set()  # one-way: (src, dst) loses every message
        self.flight: list[tuple[int, Message]] = []
        self.now = 0
        self.history = History()
        self.compact_every = compact_every

    def _start(self, name: str) -> Node:
        disk = self.disks[name]
        node_rng = random.Random(self.rng.random())
        node = Node(name, self.names, node_rng.randrange, Timing(election=10, heartbeat=2),
                    hard_state=disk.hard, snapshot=disk.snap, entries=list(disk.log))
        # a restarted node replays its state machine from the snapshot and what it had applied after
        node.applied = max(disk.snap.index if disk.snap else 0, disk.applied[-1][0] if disk.applied else 0)
        return node

    def handle(self, name: str) -> None:
        node, disk = self.nodes[name], self.disks[name]
        ready = node.ready()
        if ready.hard_state:
            disk.hard = ready.hard_state
        if ready.snapshot:
            disk.snap = ready.snapshot
            disk.log = [e for e in disk.log if e.index > ready.snapshot.index]
            disk.applied = [(i, d) for i, d in disk.applied if i <= ready.snapshot.index]
            self.history.applied.setdefault(name, []).append((ready.snapshot.index, b"<snapshot>"))
        if ready.entries:
            first = ready.entries[0].index
            disk.log = [e for e in disk.log if e.index < first] + list(ready.entries)
        for msg in ready.messages:
            if (msg.src, msg.dst) in self.cut or self.rng.random() < 0.1:
                continue
            self.flight.append((self.now + self.rng.randrange(0, 4), msg))
        for entry in ready.committed:
            disk.applied.append((entry.index, entry.data))
            self.history.applied.setdefault(name, []).append((entry.index, entry.data))
        if node.role is Role.LEADER:
            self.history.leaders.setdefault(node.term, set()).add(name)
        if self.compact_every and node.applied - node.snap.index >= self.compact_every:
            node.compact(node.applied, repr(disk.applied).encode())
            disk.snap, disk.log = node.snap, [e for e in disk.log if e.index > node.applied]

    def step(self) -> None:
        self.now += 1
        due = [m for t, m in self.flight if t <= self.now]
        self.flight = [(t, m) for t, m in self.flight if t > self.now]
        for msg in due:
            if msg.dst not in self.down:
                self.nodes[msg.dst].step(msg)
        for name in self.names:
            if name not in self.down:
                self.nodes[name].tick()
                self.handle(name)

    def fault(self) -> None:
        roll = self.rng.random()
        if roll < 0.02 and len(self.down) < 2:
            victim = self.rng.choice(self.names)
            self.down.add(victim)  # SIGKILL: what is not on disk is lost
        elif roll < 0.05 and self.down:
            back = self.rng.choice(sorted(self.down))
            self.down.discard(back)
            self.nodes[back] = self._start(back)
        elif roll < 0.07:
            src, dst = self.rng.sample(self.names, 2)
            self.cut.add((src, dst))
        elif roll < 0.10:
            self.cut.clear()

    def leader(self) -> Node | None:
        live = [n for n in self.nodes.values() if n.role is Role.LEADER and n.name not in self.down]
        return max(live, key=lambda n: n.term) if live else None

    def propose(self, data: bytes) -> None:
        leader = self.leader()
        if leader is not None:
            leader.propose(data)
            self.handle(leader.name)


def check(history: History) -> None:
    """Election safety and state-machine safety: one leader a term; every node applies one same sequence."""
    for term, leaders in history.leaders.items():
        assert len(leaders) <= 1, f"term {term} had leaders {sorted(leaders)}"
    at: dict[int, bytes] = {}
    for name, applied in history.applied.items():
        last = 0
        for index, data in applied:
            if data == b"<snapshot>":
                last = index
                continue
            assert index == last + 1 or index <= last, f"{name} applied {index} after {last}"
            if index <= last:
                continue  # after a restart, entries are applied again from the snapshot on
            last = index
            assert at.setdefault(index, data) == data, f"{name}: {data!r} at {index}, not {at[index]!r}"


def cluster_run(seed: int, steps: int = 1500, compact_every: int = 0) -> Cluster:
    cluster = Cluster(seed, compact_every=compact_every)
    for i in range(steps):
        cluster.fault()
        if i % 7 == 0:
            cluster.propose(f"{seed}:{i}".encode())
        cluster.step()
    # heal: all up, no cuts, and time to agree
    for back in sorted(cluster.down):
        cluster.nodes[back] = cluster._start(back)
    cluster.down.clear()
    cluster.cut.clear()
    for _ in range(300):
        cluster.step()
    cluster.propose(b"last")
    for _ in range(100):
        cluster.step()
    return cluster


@settings(max_examples=25, deadline=None)
@given(st.integers(0, 2**32))
def test_one_leader_a_term_and_one_applied_sequence(seed: int) -> None:
    cluster = cluster_run(seed)
    check(cluster.history)
    commits = {n.commit for n in cluster.nodes.values()}
    assert len(commits) == 1, f"seed {seed}: commits {commits} after healing"
    assert all(cluster.history.applied[n][-1][1] == b"last" for n in NAMES), f"seed {seed}: not applied"


@settings(max_examples=15, deadline=None)
@given(st.integers(0, 2**32))
def test_snapshots_bring_a_node_back(seed: int) -> None:
    cluster = cluster_run(seed, compact_every=20)
    check(cluster.history)
    assert len({n.commit for n in cluster.nodes.values()}) == 1


def test_the_checker_sees_two_leaders_and_diverging_logs() -> None:
    with pytest.raises(AssertionError, match="leaders"):
        check(History(leaders={3: {"a", "b"}}))
    with pytest.raises(AssertionError, match="not"):
        check(History(applied={"a": [(1, b"x")], "b": [(1, b"y")]}))


def test_votes_are_counted_by_majority_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """A mutation of the quorum (any one vote wins) must be caught by the checker within a few seeds."""
    monkeypatch.setattr(Node, "_has_quorum", lambda self, names: len(names & self.voters) >= 1)
    with pytest.raises(AssertionError):
        for seed in range(20):
            check(cluster_run(seed, steps=400).history)


def test_membership_changes_one_voter_at_a_time() -> None:
    cluster = Cluster(7)
    while cluster.leader() is None:
        cluster.step()
    leader = cluster.leader()
    assert leader is not None
    with pytest.raises(ChangeRefused):
        leader.change_voters(frozenset({"a", "b", "c"}))
    index = leader.change_voters(frozenset(NAMES) - {"e"})
    with pytest.raises(ChangeRefused, match="uncommitted"):
        leader.change_voters(frozenset(NAMES) - {"d", "e"})
    cluster.handle(leader.name)
    while leader.commit < index:
        cluster.step()
    assert all(n.voters == frozenset(NAMES) - {"e"} for n in cluster.nodes.values() if n.last_index >= index)
    follower = next(n for n in cluster.nodes.values() if n.role is Role.FOLLOWER)
    with pytest.raises(NotLeader):
        follower.propose(b"x")


def test_a_leader_alone_steps_down() -> None:
    cluster = Cluster(11)
    while cluster.leader() is None:
        cluster.step()
    leader = cluster.leader()
    assert leader is not None
    for other in NAMES:
        if other != leader.name:
            cluster.cut.add((other, leader.name))  # one way: it sends, but hears nothing back
    for _ in range(40):
        cluster.step()
    assert leader.role is not Role.LEADER
