"""Membership changes by joint consensus."""

from __future__ import annotations

import pytest
from raft_cluster import SimulatedCluster

from wheatstile.store.errors import MembershipChangeRejectedError
from wheatstile.store.raft.messages import Configuration


def test_a_change_needs_both_majorities_and_runs_alone() -> None:
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
    assert leaders, "no new voter leads"
    assert leaders[0].log.configuration == Configuration(frozenset("cde")), "the change did not end"
