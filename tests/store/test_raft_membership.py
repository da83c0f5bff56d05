"""Membership changes by joint consensus."""

from __future__ import annotations

import pytest
from raft_cluster import SimulatedCluster
from raft_nodes import (
    configuration_entry,
    elect,
    make_leader,
    make_node,
    make_removed_voter,
    tick_until_campaign,
)

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.raft.messages import (
    Configuration,
    Entry,
    EntryKind,
    HardState,
    Message,
    MessageKind,
    Role,
    Snapshot,
)
from wheatstile.store.raft.node import RaftNode


def test_a_voter_change_is_joint_and_excludes_another_change() -> None:
    cluster = SimulatedCluster(7, voter_count=3)
    cluster.heal()
    while not (leaders := [node for node in cluster.leaders() if node.log.commit_index]):
        cluster.step()
    leader = leaders[0]
    leader.change_members("cde")
    with pytest.raises(MembershipChangeRejectedError, match="still in progress"):
        leader.change_members("abc")
    assert leader.log.configuration.outgoing_voters == frozenset("abc")
    for _ in range(200):
        cluster.step()
    leaders = [node for node in cluster.leaders() if node.name in "cde"]
    assert leaders, "no new voter is the leader"
    assert leaders[0].log.configuration == Configuration(frozenset("cde")), "the change was not completed"


@pytest.mark.parametrize(("voters", "learners"), [("", ""), ("", "abc")])
def test_a_change_that_leaves_no_voter_is_rejected(voters: str, learners: str) -> None:
    with pytest.raises(MembershipChangeRejectedError, match="leave the cluster without a voter"):
        make_leader().change_members(voters, learners)


def test_a_change_before_the_leaders_first_commit_is_rejected() -> None:
    node = make_node()
    elect(node, "bc")
    with pytest.raises(MembershipChangeRejectedError, match="not committed an entry of its term"):
        node.change_members("abcd")


def test_learners_change_in_one_step_and_do_not_vote() -> None:
    leader = make_leader()
    leader.change_members("abc", "d")
    configuration = leader.log.configuration
    assert configuration == Configuration(frozenset("abc"), learners=frozenset("d"))
    assert not configuration.has_quorum({"a", "d"})


def test_only_the_leader_accepts_membership_changes() -> None:
    with pytest.raises(NotLeaderError):
        make_node().change_members("abcd")


def test_a_removed_voter_completes_the_change_that_it_alone_has_stored() -> None:
    """Guards against a cluster that can no longer elect a leader after a membership change."""
    node = make_removed_voter()
    assert {request.recipient for request in tick_until_campaign(node)} == set("bcd")
    elect_as_removed_voter(node)
    for follower in "bc":
        acknowledge(node, follower)
    assert node.log.is_configuration_committed
    assert node.role is Role.FOLLOWER, "the removed voter is still the leader after the change was committed"
    assert tick_until_campaign(node) == []


def elect_as_removed_voter(node: RaftNode) -> None:
    """Elect a pre-candidate that is not a voter. It needs the votes of two of the three voters."""
    for kind, role in ((MessageKind.PRE_VOTE_REPLY, Role.CANDIDATE), (MessageKind.VOTE_REPLY, Role.LEADER)):
        node.step(Message(kind, "b", "a", 2, granted=True))
        assert node.role is not role, "the vote of a node that is not a voter was counted"
        node.step(Message(kind, "c", "a", 2, granted=True))
        assert node.role is role
    node.ready()


def acknowledge(leader: RaftNode, follower: str) -> None:
    """Send the leader a reply in which one follower acknowledges its complete log."""
    last_index = leader.log.last_index
    reply = Message(MessageKind.APPEND_REPLY, follower, "a", leader.term, index=last_index, granted=True)
    leader.step(reply)


def test_a_removed_leader_counts_neither_its_own_log_nor_its_own_heartbeat() -> None:
    node = make_removed_voter()
    tick_until_campaign(node)
    elect_as_removed_voter(node)
    node.read(7)
    node.ready()
    acknowledge(node, "b")
    assert node.log.commit_index == 2, "an entry was committed by one voter of three"
    assert node.ready().read_states == [], "a read was confirmed by one voter of three"
    for _ in range(2 * node.state.timing.election_ticks):
        node.tick()
    assert node.role is Role.FOLLOWER, "a leader that has replies from one voter of three did not step down"


@pytest.mark.parametrize("commit_index", [3, 0])
def test_a_node_removed_by_a_committed_change_does_not_campaign(commit_index: int) -> None:
    """At commit index 0, a later configuration in the log shows that the change is committed."""
    node = make_removed_voter(commit_index)
    if commit_index == 0:
        entries = [*node.log.entries, configuration_entry(4, "bcd", learners="e")]
        node = make_node(hard_state=HardState(1, None, 0), entries=entries)
    assert tick_until_campaign(node) == []


def test_a_learner_does_not_campaign() -> None:
    entries = [Entry(1, 1, EntryKind.NOOP), configuration_entry(2, "bc", learners="a")]
    node = make_node(voters="", hard_state=HardState(1, None, 1), entries=entries)
    assert tick_until_campaign(node) == []


def test_a_removed_voter_that_restarts_does_not_disrupt_the_leader() -> None:
    """The removed voter was down while the change was committed, so it still requests votes."""
    request = tick_until_campaign(make_removed_voter())[0]
    follower = make_node("b", hard_state=HardState(1, None, 0))
    follower.step(Message(MessageKind.APPEND, "c", "b", 1))
    follower.ready()
    follower.step(request)
    assert [reply.granted for reply in follower.ready().messages] == [False]
    assert (follower.term, follower.leader) == (1, "c")


def test_a_removed_voter_ignores_a_late_timeout_now_message() -> None:
    node = make_removed_voter()
    node.step(Message(MessageKind.TIMEOUT_NOW, "b", "a", 1))
    assert node.role is Role.FOLLOWER


def test_a_snapshot_with_the_final_configuration_ends_the_campaigns_of_a_removed_voter() -> None:
    node = make_removed_voter()
    assert tick_until_campaign(node)
    configuration = Configuration(frozenset("bcd"))
    snapshot = Snapshot(3, 1, configuration, b"")
    node.step(Message(MessageKind.SNAPSHOT, "b", "a", 2, snapshot=snapshot))
    assert node.log.configuration == configuration
    assert tick_until_campaign(node) == []
