"""Membership changes by joint consensus."""

from __future__ import annotations

import pytest
from raft_cluster import SimulatedCluster
from raft_nodes import elect, make_leader, make_node

from wheatstile.store.errors import MembershipChangeRejectedError, NotLeaderError
from wheatstile.store.raft.messages import Configuration


def test_a_change_needs_both_majorities_and_excludes_another_change() -> None:
    cluster = SimulatedCluster(7, voter_count=3)
    cluster.heal()
    while not (leaders := [node for node in cluster.leaders() if node.log.commit_index]):
        cluster.step()
    leader = leaders[0]
    leader.change_members("cde")
    with pytest.raises(MembershipChangeRejectedError, match="under way"):
        leader.change_members("abc")
    assert leader.log.configuration.outgoing_voters == frozenset("abc")
    for _ in range(200):
        cluster.step()
    leaders = [node for node in cluster.leaders() if node.name in "cde"]
    assert leaders, "no new voter is the leader"
    assert leaders[0].log.configuration == Configuration(frozenset("cde")), "the change was not completed"


@pytest.mark.parametrize(("voters", "learners"), [("", ""), ("", "abc")])
def test_a_change_that_leaves_no_voter_is_rejected(voters: str, learners: str) -> None:
    with pytest.raises(MembershipChangeRejectedError, match="no voter would be left"):
        make_leader().change_members(voters, learners)


def test_a_change_before_the_leaders_first_commit_is_rejected() -> None:
    node = make_node()
    elect(node, "bc")
    with pytest.raises(MembershipChangeRejectedError, match="not committed anything"):
        node.change_members("abcd")


def test_learners_change_in_one_step_and_do_not_vote() -> None:
    leader = make_leader()
    leader.change_members("abc", "d")
    configuration = leader.log.configuration
    assert configuration == Configuration(frozenset("abc"), learners=frozenset("d"))
    assert not configuration.has_quorum({"a", "d"})


def test_only_the_leader_changes_members() -> None:
    with pytest.raises(NotLeaderError):
        make_node().change_members("abcd")
