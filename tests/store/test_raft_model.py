"""Breadth-first search of the histories of three members with at most two terms, two entries, one crash.

A step delivers any sent message, starts the campaign of any member, proposes an entry at a leader, or
restarts a member with its persisted state. Messages may be delivered in any order or never. The invariants
are checked in every state. `WHEATSTILE_STATES` limits the number of states; shorter histories come first.
"""

from __future__ import annotations

import copy
import os
from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace

import pytest

from wheatstile.store.raft import election
from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import Configuration, Entry, HardState, Message, Role
from wheatstile.store.raft.node import RaftNode
from wheatstile.store.raft.state import Leadership, RaftState

STATES = int(os.environ.get("WHEATSTILE_STATES", "12000"))
NAMES = "abc"
MAX_TERMS = 2
MAX_ENTRIES = 2
MAX_CRASHES = 1
UNBOUNDED_DEPTH = 1 << 30


def start_node(name: str, hard_state: HardState | None = None, log: tuple[Entry, ...] = ()) -> RaftNode:
    """Return a node whose election timeouts are not random."""
    return RaftNode(name, NAMES, lambda low, _high: low, hard_state=hard_state, entries=log)


def clone_node(node: RaftNode) -> RaftNode:
    """Return a copy that shares no mutable state with `node`."""
    clone = copy.copy(node)
    clone.state = clone_state(node.state)
    return clone


def clone_state(state: RaftState) -> RaftState:
    clone = copy.copy(state)
    clone.log = clone_log(state.log)
    clone.leadership = clone_leadership(state.leadership)
    clone.votes_received = set(state.votes_received)
    clone.forwarded_reads = set(state.forwarded_reads)
    clone.messages = list(state.messages)
    clone.read_states = list(state.read_states)
    clone.rejected_reads = list(state.rejected_reads)
    return clone


def clone_log(log: RaftLog) -> RaftLog:
    clone = copy.copy(log)
    clone.entries = list(log.entries)
    clone.configurations = list(log.configurations)
    clone.unpersisted_entries = list(log.unpersisted_entries)
    return clone


def clone_leadership(leadership: Leadership) -> Leadership:
    progress = {
        name: replace(progress, inflight=deque(progress.inflight))
        for name, progress in leadership.progress.items()
    }
    return replace(
        leadership,
        progress=progress,
        active_peers=set(leadership.active_peers),
        round_started_at=dict(leadership.round_started_at),
        pending_reads=list(leadership.pending_reads),
    )


def node_key(node: RaftNode) -> Hashable:
    """Return a key that differs for different states of a node."""
    state = node.state
    progress = tuple(
        (
            peer,
            progress.match_index,
            progress.next_index,
            progress.probing,
            progress.awaiting_reply,
            tuple(progress.inflight),
        )
        for peer, progress in sorted(state.leadership.progress.items())
    )
    return (
        state.term,
        state.vote,
        state.log.commit_index,
        state.role,
        tuple(state.log.entries),
        frozenset(state.votes_received),
        progress,
    )


@dataclass(frozen=True)
class ModelState:
    """The nodes, the sent messages, and the leaders and commits of the history that led to this state."""

    nodes: dict[str, RaftNode]
    messages: frozenset[Message] = frozenset()
    leaders: frozenset[tuple[int, str]] = frozenset()  # (term, leader)
    committed: frozenset[tuple[int, int, Entry]] = frozenset()  # (index, term of the commit, entry)
    crashes: int = 0
    depth: int = 0

    def key(self) -> Hashable:
        """Return a key that differs for different states. The depth is not part of it."""
        nodes = tuple(node_key(node) for node in self.nodes.values())
        return nodes, self.messages, self.leaders, self.committed, self.crashes

    def after(self, node: RaftNode, messages: frozenset[Message], crashes: int = 0) -> ModelState:
        """Return the state after a step of `node`, which may have sent messages."""
        ready = node.ready()
        leaders = self.leaders
        if node.role is Role.LEADER:
            leaders |= {(node.term, node.name)}
        committed = self.committed | {(entry.index, node.term, entry) for entry in ready.committed_entries}
        return ModelState(
            self.nodes | {node.name: node},
            messages | frozenset(ready.messages),
            leaders,
            committed,
            self.crashes + crashes,
            self.depth + 1,
        )

    def successors(self) -> Iterator[ModelState]:
        """Yield the states after each possible step."""
        for message in self.messages:
            node = clone_node(self.nodes[message.recipient])
            node.step(message)
            yield self.after(node, self.messages - {message})
        for node in self.nodes.values():
            yield from self.successors_by(node)

    def successors_by(self, node: RaftNode) -> Iterator[ModelState]:
        """Yield the states after a campaign, a proposal or a crash of `node`."""
        if node.role is not Role.LEADER and node.term < MAX_TERMS:
            candidate = clone_node(node)
            election.start_election(candidate.state)
            yield self.after(candidate, self.messages)
        if node.role is Role.LEADER and node.log.last_index < MAX_ENTRIES:
            leader = clone_node(node)
            leader.propose(node.name.encode())
            yield self.after(leader, self.messages)
        if self.crashes < MAX_CRASHES and node.term:
            restarted = start_node(node.name, node.hard_state, tuple(node.log.entries))
            yield self.after(restarted, self.messages, crashes=1)

    def check(self) -> None:
        """Check that a term has at most one leader and an index at most one committed entry.

        Also check that each leader has the committed entries.
        """
        terms = {term for term, _ in self.leaders}
        assert len(terms) == len(self.leaders), f"two leaders in a term: {sorted(self.leaders)}"
        entries: dict[int, Entry] = {}
        for index, _, entry in self.committed:
            assert entries.setdefault(index, entry) == entry, f"two entries committed at index {index}"
        for node in self.nodes.values():
            if node.role is Role.LEADER:
                self.check_leader_completeness(node)

    def check_leader_completeness(self, leader: RaftNode) -> None:
        """Check that a leader's log has every entry that was committed up to its term."""
        for index, term, entry in self.committed:
            if leader.term >= term:
                stored = leader.log.entries[index - 1] if leader.log.last_index >= index else None
                assert stored == entry, f"leader {leader.name} of term {leader.term} lacks {entry}"


@dataclass(frozen=True)
class Exploration:
    """The number of states, the depth to which all histories were explored, and the highest commit index."""

    states: int
    depth: int
    commit_index: int


def explore(max_states: int) -> Exploration:
    """Explore histories breadth first until `max_states` states are found, and check each visited state."""
    first = ModelState({name: start_node(name) for name in NAMES})
    leader = clone_node(first.nodes["a"])  # the members are symmetric, so only a's first campaign is explored
    election.start_election(leader.state)
    queue = deque([first.after(leader, frozenset())])
    seen = {queue[0].key()}
    commit_index = 0
    while queue:
        state = queue.popleft()
        state.check()
        commit_index = max(commit_index, *(node.log.commit_index for node in state.nodes.values()))
        if len(seen) >= max_states:
            return Exploration(len(seen), state.depth - 1, commit_index)
        for successor in state.successors():
            key = successor.key()
            if key not in seen:
                seen.add(key)
                queue.append(successor)
    return Exploration(len(seen), UNBOUNDED_DEPTH, commit_index)


def test_no_short_history_violates_an_invariant() -> None:
    explored = explore(STATES)
    print(f"{explored.states} states, which include all histories of {explored.depth} steps")
    assert explored.states >= STATES
    assert explored.depth >= 5
    assert explored.commit_index >= 1


@pytest.mark.parametrize(
    ("name", "mutation"),
    [
        ("has_quorum", lambda configuration, names: bool(names & configuration.electors)),
        ("quorum_value", lambda configuration, value_of: max(map(value_of, configuration.electors))),
    ],
)
def test_a_smaller_quorum_is_detected(monkeypatch: pytest.MonkeyPatch, name: str, mutation: object) -> None:
    monkeypatch.setattr(Configuration, name, mutation)
    with pytest.raises(AssertionError):
        explore(STATES * 4)
