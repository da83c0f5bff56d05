"""Every history of three members in two terms with two entries and one crash, breadth first.

What may happen next is any message that is out, in any order or never, any member's campaign, a leader's
proposal, a crash that keeps what was persisted. Checked in every state. `WHEATSTILE_STATES` says how many;
all shorter histories are among them.
"""

from __future__ import annotations

import copy
import os
from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace

import pytest

from wheatstile.store.messages import Config, Entry, HardState, Message, Ready, Role
from wheatstile.store.raft import Node

STATES = int(os.environ.get("WHEATSTILE_STATES", "12000"))
NAMES = "abc"
TERMS, ENTRIES, CRASHES = 2, 2, 1


def fresh(name: str, hard: HardState | None = None, log: tuple[Entry, ...] = ()) -> Node:
    return Node(name, NAMES, lambda low, high: low, hard_state=hard, entries=log)


def clone(node: Node) -> Node:
    new = copy.copy(node)
    new.log, new._configs, new._reads = list(node.log), list(node._configs), list(node._reads)
    new._votes, new._active, new._asked = set(node._votes), set(node._active), set(node._asked)
    new._round_sent, new._ready = dict(node._round_sent), Ready()
    new._progress = {n: replace(p, inflight=deque(p.inflight)) for n, p in node._progress.items()}
    return new


@dataclass(frozen=True)
class State:
    nodes: dict[str, Node]
    out: frozenset[Message] = frozenset()
    led: frozenset[tuple[int, str]] = frozenset()  # (term, who led in it)
    settled: frozenset[tuple[int, int, Entry]] = frozenset()  # (index, the term of the commit, the entry)
    crashes: int = 0
    depth: int = 0

    def key(self) -> Hashable:
        each = tuple(
            (n.term, n.vote, n.commit, n.role, tuple(n.log), frozenset(n._votes), tuple(
                (p, g.match, g.next, g.probing, g.waiting, tuple(g.inflight))
                for p, g in sorted(n._progress.items())))
            for n in self.nodes.values())
        return each, self.out, self.led, self.settled, self.crashes

    def after(self, node: Node, out: frozenset[Message], crashes: int = 0) -> State:
        """This member has done something; what it says now is out."""
        ready = node.ready()
        led, settled = self.led, self.settled
        if node.role is Role.LEADER:
            led |= {(node.term, node.name)}
        settled |= {(entry.index, node.term, entry) for entry in ready.committed}
        return State(self.nodes | {node.name: node}, out | frozenset(ready.messages), led, settled,
                     self.crashes + crashes, self.depth + 1)

    def following(self) -> Iterator[State]:
        for msg in self.out:
            node = clone(self.nodes[msg.dst])
            node.step(msg)
            yield self.after(node, self.out - {msg})
        for name, old in self.nodes.items():
            if old.role is not Role.LEADER and old.term < TERMS:
                node = clone(old)
                node._campaign(pre=False)
                yield self.after(node, self.out)
            if old.role is Role.LEADER and old.last_index < ENTRIES:
                node = clone(old)
                node.propose(name.encode())
                yield self.after(node, self.out)
            if self.crashes < CRASHES and old.term:
                yield self.after(fresh(name, old.hard_state, tuple(old.log)), self.out, crashes=1)

    def check(self) -> None:
        assert len({term for term, _ in self.led}) == len(self.led), f"two led a term: {sorted(self.led)}"
        entries: dict[int, Entry] = {}
        for index, _, entry in self.settled:
            assert entries.setdefault(index, entry) == entry, f"two entries committed at {index}"
        for node in self.nodes.values():
            for index, term, entry in self.settled:
                if node.role is Role.LEADER and node.term >= term:
                    held = node.log[index - 1] if node.last_index >= index else None
                    assert held == entry, f"{node.name} leads term {node.term} without {entry}"


def explored(states: int) -> tuple[int, int, int]:
    """States seen, the depth up to which all are, and the most entries that any member committed."""
    first = State({name: fresh(name) for name in NAMES})
    leader = clone(first.nodes["a"])  # the first campaign is a's: the names mean nothing
    leader._campaign(pre=False)
    queue = deque([first.after(leader, frozenset())])
    seen, settled = {queue[0].key()}, 0
    while queue:
        state = queue.popleft()
        state.check()
        settled = max(settled, *(node.commit for node in state.nodes.values()))
        if len(seen) >= states:
            return len(seen), state.depth - 1, settled
        for following in state.following():
            if (key := following.key()) not in seen:
                seen.add(key)
                queue.append(following)
    return len(seen), 1 << 30, settled


def test_no_short_history_breaks_a_rule() -> None:
    states, depth, settled = explored(STATES)
    print(f"{states} states, all histories of {depth} steps")
    assert states >= STATES and depth >= 5 and settled >= 1


@pytest.mark.parametrize(("name", "fault"), [
    ("quorum", lambda config, names: bool(names & config.electors)),
    ("agreed", lambda config, value: max(map(value, config.electors)))])
def test_a_shorter_majority_is_found(monkeypatch: pytest.MonkeyPatch, name: str, fault: object) -> None:
    monkeypatch.setattr(Config, name, fault)
    with pytest.raises(AssertionError):
        explored(STATES * 4)
