"""A simulated cluster of Raft nodes in virtual time. Its invariants are checked after every step.

The seed determines the whole run. Messages are lost, repeated, delayed and reordered. A crashed node keeps
its persisted state and loses the rest. `raft_histories` adds further faults.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

from wheatstile.store.errors import NotLeaderError
from wheatstile.store.raft.messages import Entry, HardState, Message, Ready, Role, Snapshot
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.raft.state import Timing

CRASH_PROBABILITY = 0.002
"""Probability, for each node and tick, of a crash before a `Ready` is persisted, and of one after."""
LOSS_PROBABILITY = 0.04
REPEAT_PROBABILITY = 0.03
MAX_REPEAT_DELAY_TICKS = 20
DELAYS_TICKS = (0, 0, 1, 1, 2, 6)


class InvariantError(AssertionError):
    """A property that Raft guarantees was violated."""


@dataclass
class PersistedState:
    """The state that a node has on disk, which survives a crash."""

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)


@dataclass
class InFlightMessage:
    """A sent message, with the tick of its delivery and its order among the messages of that tick."""

    due_tick: int
    order: int
    message: Message


class SimulatedCluster:
    """A cluster whose initial voters are the first `voter_count` of `names`. The others may be added later.

    The state machine of a node is the list of all applied indices.
    """

    def __init__(
        self, seed: int, voter_count: int = 3, names: str = "abcde", compact_every: int = 25
    ) -> None:
        self.rng = random.Random(seed)
        self.names = names
        self.voters = names[:voter_count]
        self.compact_every = compact_every
        self.disks = {name: PersistedState() for name in names}
        self.crashed: set[str] = set()
        self.paused: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()  # (sender, recipient)
        self.in_flight: list[InFlightMessage] = []
        self.now_tick = 0
        self.faults_enabled = True
        self.leader_by_term: dict[int, str] = {}
        self.data_by_index: dict[int, bytes] = {}  # data of the first node that applied the index
        self.applied_indices: dict[str, list[int]] = {name: [] for name in names}
        # The highest index that any node had applied when the read started, by reader and request.
        self.reads: dict[tuple[str, int], int] = {}
        self.answered_read_count = 0
        self.rejected_read_count = 0
        self.installed_snapshot_count = 0
        self.nodes = {name: self.start_node(name) for name in names}

    def start_node(self, name: str) -> RaftNode:
        """Return a node that starts from the state on its disk."""
        disk = self.disks[name]
        node = RaftNode(
            name,
            self.voters if name in self.voters else (),
            self.rng.randrange,
            Timing(election_ticks=10, heartbeat_ticks=2),
            hard_state=disk.hard_state,
            snapshot=disk.snapshot,
            entries=disk.entries,
            ticks=self.now_tick,
        )
        self.applied_indices[name] = list(range(1, node.log.applied_index + 1))
        return node

    def process_ready(self, name: str) -> None:
        """Process a node's `Ready` as `Member` does, with random crashes before and after persisting."""
        node = self.nodes[name]
        ready = node.ready()
        random_share = self.rng.random() if self.faults_enabled else 1.0
        if random_share < CRASH_PROBABILITY:  # crashes before anything is persisted
            self.crashed.add(name)
            return
        self.persist(self.disks[name], ready, node.log.entries)
        if random_share < 2 * CRASH_PROBABILITY:  # crashes after persisting, before any message is sent
            self.crashed.add(name)
            return
        self.process_after_persisting(node, ready)
        self.check_one_leader(node)
        self.compact_if_due(node)

    def process_after_persisting(self, node: RaftNode, ready: Ready) -> None:
        """Install the snapshot, send the messages, apply the entries and check the reads."""
        if ready.snapshot:
            self.installed_snapshot_count += 1
            self.applied_indices[node.name] = [int(index) for index in ready.snapshot.data.split()]
        for message in ready.messages:
            self.send(message)
        for entry in ready.committed_entries:
            self.apply(node.name, entry)
        self.check_reads(node, ready)

    def check_one_leader(self, node: RaftNode) -> None:
        """Check that no other node has been the leader of the node's term."""
        if node.role is not Role.LEADER:
            return
        first_leader = self.leader_by_term.setdefault(node.term, node.name)
        if first_leader != node.name:
            raise InvariantError(f"term {node.term} was led by {first_leader} and {node.name}")

    @staticmethod
    def persist(disk: PersistedState, ready: Ready, log_entries: list[Entry]) -> None:
        """Persist a `Ready` as `Member` does; `log_entries` are the entries after its snapshot."""
        if ready.snapshot:
            disk.snapshot = ready.snapshot
            disk.entries = list(log_entries)
        elif ready.entries:
            first = ready.entries[0].index
            disk.entries = [entry for entry in disk.entries if entry.index < first] + ready.entries
        disk.hard_state = ready.hard_state or disk.hard_state

    def send(self, message: Message) -> None:
        """Queue a message for delivery, sometimes late or twice."""
        delay_ticks = self.rng.choice(DELAYS_TICKS)
        order = self.rng.getrandbits(30)
        self.in_flight.append(InFlightMessage(self.now_tick + delay_ticks, order, message))
        if self.rng.random() < REPEAT_PROBABILITY:
            repeat_tick = self.now_tick + self.rng.randrange(MAX_REPEAT_DELAY_TICKS)
            self.in_flight.append(InFlightMessage(repeat_tick, 0, message))

    def apply(self, name: str, entry: Entry) -> None:
        """Apply a committed entry; check that it is the next one and that all nodes apply the same one."""
        applied = self.applied_indices[name]
        if applied and entry.index != applied[-1] + 1:
            raise InvariantError(f"{name} applied index {entry.index} after index {applied[-1]}")
        expected = self.data_by_index.setdefault(entry.index, entry.data)
        if expected != entry.data:
            raise InvariantError(f"{name} applied {entry.data!r} at index {entry.index}, not {expected!r}")
        applied.append(entry.index)

    def check_reads(self, node: RaftNode, ready: Ready) -> None:
        """Count the finished reads, and check that each sees every entry that was applied when it started."""
        for read in ready.read_states:
            if node.log.applied_index < read.index:
                continue  # a real caller would wait until the index is applied; here the read is ignored
            self.answered_read_count += 1
            required = self.reads[node.name, read.request_id]
            if node.log.applied_index < required:
                applied = node.log.applied_index
                raise InvariantError(
                    f"{node.name} answered a read at index {applied}; it requires index {required}"
                )
        self.rejected_read_count += len(ready.rejected_reads)

    def compact_if_due(self, node: RaftNode) -> None:
        """Compact a long log into a snapshot, in memory and on disk."""
        if node.log.applied_index - node.log.snapshot.index < self.compact_every:
            return
        node.compact(" ".join(map(str, self.applied_indices[node.name])).encode())
        disk = self.disks[node.name]
        disk.snapshot = node.log.snapshot
        disk.entries = list(node.log.entries)

    def step(self) -> None:
        """Advance time by one tick: deliver the due messages, tick all nodes, and process their work."""
        self.now_tick += 1
        due = sorted(
            (sent for sent in self.in_flight if sent.due_tick <= self.now_tick),
            key=lambda sent: (sent.due_tick, sent.order),
        )
        self.in_flight = [sent for sent in self.in_flight if sent.due_tick > self.now_tick]
        for sent in due:
            self.deliver(sent.message)
        for name in self.names:
            if name not in self.crashed | self.paused:
                while self.nodes[name].ticks < self.now_tick:
                    self.nodes[name].tick()
                self.process_ready(name)

    def deliver(self, message: Message) -> None:
        """Deliver a message unless it is lost. A paused recipient receives it after the pause."""
        is_cut = (message.sender, message.recipient) in self.cut_links
        if message.recipient in self.crashed or is_cut or self.rng.random() < LOSS_PROBABILITY:
            return
        if message.recipient in self.paused:
            self.in_flight.append(InFlightMessage(self.now_tick + 1, 0, message))
            return
        self.nodes[message.recipient].step(message)

    def isolate(self, victim: str) -> None:
        """Cut all links of a node in both directions."""
        self.cut_links |= {(victim, name) for name in self.names}
        self.cut_links |= {(name, victim) for name in self.names}

    def restart(self, name: str) -> None:
        """Restart a crashed node."""
        self.crashed.discard(name)
        self.nodes[name] = self.start_node(name)

    def request(self, number: int) -> None:
        """Propose an entry at every leader, including outdated ones, and read at a random node."""
        unavailable = self.crashed | self.paused
        for node in self.nodes.values():
            if node.name not in unavailable:
                with suppress(NotLeaderError):
                    node.propose(f"{node.name}{number}".encode())
        reader = self.rng.choice(self.names)
        if reader not in unavailable:
            self.reads[reader, number] = max(self.data_by_index, default=0)
            with suppress(NotLeaderError):
                self.nodes[reader].read(number)

    def heal(self) -> None:
        """End all faults and restart the crashed nodes."""
        self.faults_enabled = False
        self.cut_links.clear()
        self.paused.clear()
        for name in sorted(self.crashed):
            self.restart(name)

    def leaders(self) -> list[RaftNode]:
        """Return the nodes in the role of leader, including outdated ones."""
        return [node for node in self.nodes.values() if node.role is Role.LEADER]


def check_log_matching(nodes: Iterable[RaftNode]) -> None:
    """Check that logs with the same term at an index are equal up to that index (paper, figure 3).

    Raises `InvariantError`.
    """
    logs = [{entry.index: entry for entry in node.log.entries} for node in nodes]
    for first in logs:
        for second in logs:
            shared = [index for index in first if index in second]
            same_term = [index for index in shared if first[index].term == second[index].term]
            last = max(same_term, default=0)
            if any(first[index] != second[index] for index in shared if index <= last):
                raise InvariantError(f"logs that agree on the term at index {last} differ at or before it")
