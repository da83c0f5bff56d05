"""Single Raft nodes in a given role, for tests of one rule. No process or task is started."""

from __future__ import annotations

import random
from collections.abc import Iterable

from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    MessageKind,
    Role,
)
from wheatstile.store.raft.node import RaftNode


def make_node(
    name: str = "a",
    voters: str = "abc",
    hard_state: HardState | None = None,
    entries: Iterable[Entry] = (),
) -> RaftNode:
    """Return a follower with an empty log, or with the given state."""
    return RaftNode(name, voters, random.Random(1).randrange, hard_state=hard_state, entries=entries)


def make_follower() -> RaftNode:
    """Return node `a` of `abc` as a follower of the leader `b` in term 1. Its reply to `b` is discarded."""
    node = make_node()
    node.step(Message(MessageKind.APPEND, "b", "a", 1))
    node.ready()
    return node


def elect(node: RaftNode, voters: str) -> None:
    """Make `node` the leader of the next term with the votes of `voters`, and discard its messages."""
    term = node.term + 1
    while node.role is Role.FOLLOWER:
        node.tick()
    for kind in (MessageKind.PRE_VOTE_REPLY, MessageKind.VOTE_REPLY):
        for voter in voters:
            node.step(Message(kind, voter, node.name, term, granted=True))
    assert node.role is Role.LEADER
    assert node.term == term
    node.ready()


def make_leader(followers: str = "bc") -> RaftNode:
    """Return node `a` of `abc` as a leader whose first entry is committed and stored by `followers`."""
    node = make_node()
    elect(node, followers)
    acknowledge_all(node, followers)
    assert node.log.commit_index == node.log.last_index
    node.ready()
    return node


def acknowledge_all(leader: RaftNode, followers: str) -> None:
    """Send the leader replies in which `followers` acknowledge its complete log and its latest heartbeat."""
    for follower in followers:
        leader.step(
            Message(
                MessageKind.APPEND_REPLY,
                follower,
                leader.name,
                leader.term,
                index=leader.log.last_index,
                granted=True,
                context=leader.state.leadership.round,
            )
        )


def configuration_entry(index: int, voters: str, outgoing_voters: str = "", learners: str = "") -> Entry:
    """Return an entry of term 1 with a configuration."""
    configuration = Configuration(frozenset(voters), frozenset(outgoing_voters), frozenset(learners))
    return Entry(1, index, EntryKind.CONFIGURATION, configuration=configuration)


def make_removed_voter(commit_index: int = 2) -> RaftNode:
    """Return node `a`, restarted with a log whose entries 2 and 3 change the voters from `abc` to `bcd`."""
    entries = [
        Entry(1, 1, EntryKind.NOOP),
        configuration_entry(2, "bcd", "abc"),
        configuration_entry(3, "bcd"),
    ]
    return make_node(hard_state=HardState(1, None, commit_index), entries=entries)


def tick_until_campaign(node: RaftNode) -> list[Message]:
    """Tick for two election timeouts, and return the pre-vote requests that the node has sent."""
    for _ in range(2 * node.state.timing.election_ticks):
        node.tick()
    return [message for message in node.ready().messages if message.kind is MessageKind.PRE_VOTE]
