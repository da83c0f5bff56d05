"""Mutation tests of Raft's rules. The random histories, or a check of one rule, must detect each mutation."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from types import ModuleType

import msgspec
import pytest
from raft_cluster import InvariantError, PersistedState, SimulatedCluster
from raft_histories import run_history
from raft_nodes import elect, make_node, make_removed_voter, tick_until_campaign

from wheatstile.store.raft import election, follower, membership, read_index, replication
from wheatstile.store.raft.log import RaftLog
from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    MessageKind,
    ReadState,
    Ready,
    Snapshot,
)
from wheatstile.store.raft.state import PendingRead, RaftState

HISTORIES = 400

original_persist = SimulatedCluster.persist
original_on_vote_request = election.on_vote_request
original_on_append = follower.on_append
original_install = RaftLog.install


def persist_without_vote(disk: PersistedState, ready: Ready, log_entries: list[Entry]) -> None:
    if ready.hard_state:
        ready = replace(ready, hard_state=msgspec.structs.replace(ready.hard_state, vote=None))
    original_persist(disk, ready, log_entries)


def persist_without_last_entry(disk: PersistedState, ready: Ready, log_entries: list[Entry]) -> None:
    original_persist(disk, replace(ready, entries=ready.entries[:-1]), log_entries)


def one_vote_is_a_quorum(configuration: Configuration, names: frozenset[str]) -> bool:
    return bool(names & configuration.electors)


def quorum_of_new_voters_only(configuration: Configuration, names: frozenset[str]) -> bool:
    return len(names & configuration.voters) * 2 > len(configuration.voters)


def highest_value_of_any_member(configuration: Configuration, value_of: Callable[[str], int]) -> int:
    return max(map(value_of, configuration.electors))


def commit_entry_of_earlier_term(state: RaftState) -> None:
    quorum_index = state.configuration.quorum_value(state.match_index)
    state.log.commit_index = max(state.log.commit_index, quorum_index)
    read_index.update_confirmed_round(state)


def answer_read_without_quorum(state: RaftState, request_id: int, requester: str) -> None:
    if requester == state.name:
        state.read_states.append(ReadState(request_id, state.log.commit_index))


def register_read_without_round(state: RaftState, request_id: int, requester: str) -> None:
    state.leadership.pending_reads.append(PendingRead(request_id, requester, 0, 0))
    state.leadership.heartbeat_requested = True


def grant_every_vote(state: RaftState, message: Message) -> None:
    is_pre_vote = message.kind is MessageKind.PRE_VOTE
    if message.kind is MessageKind.VOTE:
        state.vote = message.sender
    reply = MessageKind.PRE_VOTE_REPLY if is_pre_vote else MessageKind.VOTE_REPLY
    state.send(reply, message.sender, term=message.term, granted=True)


def grant_votes_to_shorter_logs(state: RaftState, message: Message) -> None:
    original_on_vote_request(state, msgspec.structs.replace(message, log_term=1 << 30))


def append_without_comparing_previous_entry(state: RaftState, message: Message) -> None:
    term = state.log.term_at(message.index)
    if term is not None:
        message = msgspec.structs.replace(message, log_term=term)
    original_on_append(state, message)


def install_snapshot_one_too_far(log: RaftLog, snapshot: Snapshot) -> None:
    original_install(log, msgspec.structs.replace(snapshot, index=snapshot.index + 1))


def only_voters_campaign(state: RaftState) -> bool:
    return state.name in state.configuration.electors


def check_histories() -> None:
    """Raise `InvariantError` if one of `HISTORIES` random histories violates an invariant."""
    for seed in range(HISTORIES):
        run_history(seed)


def check_joint_quorum() -> None:
    joint = Configuration(frozenset("cde"), frozenset("abc"))
    if joint.has_quorum({"c", "d", "e"}) or joint.has_quorum({"a", "b", "c"}):
        raise InvariantError("the outgoing voters or the new voters alone are a quorum during a change")
    if not joint.has_quorum({"b", "c", "d"}):
        raise InvariantError("majorities of the outgoing and of the new voters are not a quorum")


def check_earlier_terms_entry_is_not_counted() -> None:
    """Check figure 8 of the paper: an earlier term's entry may be overwritten although a majority has it."""
    node = make_node(
        voters="abcde",
        hard_state=HardState(3, None, 0),
        entries=[Entry(1, 1, EntryKind.DATA), Entry(2, 2, EntryKind.DATA)],
    )
    elect(node, "bc")
    for index, expected_commit in ((2, 0), (3, 3)):
        for voter in "bc":
            node.step(Message(MessageKind.APPEND_REPLY, voter, "a", 4, index=index, granted=True))
        commit = node.log.commit_index
        if commit != expected_commit:
            raise InvariantError(
                f"a majority has entry {index}: the commit index is {commit}, not {expected_commit}"
            )


def check_vote_survives_crash() -> None:
    """Check that a node does not vote again in the same term after a crash."""
    disk = PersistedState()
    for candidate, granted in (("b", True), ("c", False)):
        node = make_node(hard_state=disk.hard_state)
        node.step(Message(MessageKind.VOTE, candidate, "a", 5))
        ready = node.ready()
        SimulatedCluster.persist(disk, ready, node.log.entries)
        if ready.messages[0].granted is not granted:
            raise InvariantError(
                f"vote request of {candidate} in term 5: granted is {not granted}, not {granted}"
            )


def check_removed_voter_campaigns() -> None:
    """Check that a removed voter campaigns until it knows that the change is committed."""
    if not tick_until_campaign(make_removed_voter()):
        raise InvariantError(
            "the removed voter does not campaign, although its final configuration is not committed"
        )


@pytest.mark.parametrize(
    "check",
    [
        check_vote_survives_crash,
        check_joint_quorum,
        check_earlier_terms_entry_is_not_counted,
        check_removed_voter_campaigns,
    ],
)
def test_a_check_of_a_rarely_exercised_rule_passes_without_a_mutation(check: Callable[[], None]) -> None:
    check()


@dataclass(frozen=True)
class Mutation:
    """A faulty replacement of `attribute` of `target`, and the check that must detect it."""

    name: str
    target: type | ModuleType
    attribute: str
    replacement: object
    check: Callable[[], None]


MUTATIONS = [
    Mutation(
        "vote_not_persisted",
        SimulatedCluster,
        "persist",
        staticmethod(persist_without_vote),
        check_vote_survives_crash,
    ),
    Mutation(
        "last_entry_not_persisted",
        SimulatedCluster,
        "persist",
        staticmethod(persist_without_last_entry),
        check_histories,
    ),
    Mutation("one_vote_is_a_quorum", Configuration, "has_quorum", one_vote_is_a_quorum, check_histories),
    Mutation(
        "outgoing_voters_ignored", Configuration, "has_quorum", quorum_of_new_voters_only, check_joint_quorum
    ),
    Mutation(
        "one_member_commits", Configuration, "quorum_value", highest_value_of_any_member, check_histories
    ),
    Mutation(
        "earlier_terms_entry_counted",
        replication,
        "advance_commit",
        commit_entry_of_earlier_term,
        check_earlier_terms_entry_is_not_counted,
    ),
    Mutation("read_without_quorum", read_index, "register", answer_read_without_quorum, check_histories),
    Mutation("read_without_round", read_index, "register", register_read_without_round, check_histories),
    Mutation("vote_given_twice", election, "on_vote_request", grant_every_vote, check_histories),
    Mutation(
        "vote_for_shorter_log", election, "on_vote_request", grant_votes_to_shorter_logs, check_histories
    ),
    Mutation(
        "previous_entry_not_compared",
        follower,
        "on_append",
        append_without_comparing_previous_entry,
        check_histories,
    ),
    Mutation(
        "removed_voter_never_campaigns",
        membership,
        "may_campaign",
        only_voters_campaign,
        check_removed_voter_campaigns,
    ),
    Mutation("snapshot_one_too_far", RaftLog, "install", install_snapshot_one_too_far, check_histories),
]


@pytest.mark.parametrize("mutation", [pytest.param(mutation, id=mutation.name) for mutation in MUTATIONS])
def test_a_mutation_of_a_rule_is_detected(monkeypatch: pytest.MonkeyPatch, mutation: Mutation) -> None:
    monkeypatch.setattr(mutation.target, mutation.attribute, mutation.replacement)
    with pytest.raises(InvariantError):
        mutation.check()
