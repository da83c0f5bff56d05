"""`RaftNode` in random histories with faults.

`WHEATSTILE_SEEDS=N-N pytest tests/store/test_raft_node.py` replays the history of seed N. The default is the
range of seeds from 0 to 199.
"""

from __future__ import annotations

import os

import pytest
from raft_cluster import InvariantError, SimulatedCluster
from raft_histories import run_history

FIRST, _, LAST = os.environ.get("WHEATSTILE_SEEDS", "0-199").partition("-")
SEEDS = range(int(FIRST), int(LAST or FIRST) + 1)
SEEDS_THAT_NEED_A_REMOVED_VOTER = (290, 512, 641)
"""In these histories only a voter that is being removed has stored the final configuration."""


def check_all_members_caught_up(cluster: SimulatedCluster, seed: int) -> None:
    """Check that there is a leader, and that no running member is far behind it."""
    latest_leader = max(cluster.leaders(), key=lambda node: node.term, default=None)
    assert latest_leader, f"seed {seed}: there is no leader after the faults"
    for name in latest_leader.log.configuration.members - cluster.crashed:
        behind = latest_leader.log.commit_index - cluster.nodes[name].log.commit_index
        assert behind < 100, f"seed {seed}: {name} is {behind} entries behind after the faults"


def test_no_invariant_is_violated_under_faults() -> None:
    answered_read_count = 0
    installed_snapshot_count = 0
    for seed in SEEDS:
        try:
            cluster = run_history(seed)
            check_all_members_caught_up(cluster, seed)
        except InvariantError as error:
            raise AssertionError(f"seed {seed}: {error}") from error
        answered_read_count += cluster.answered_read_count
        installed_snapshot_count += cluster.installed_snapshot_count
    assert answered_read_count > len(SEEDS) * 20, "too few reads were answered"
    assert installed_snapshot_count > len(SEEDS) / 10, "too few snapshots were installed"


@pytest.mark.parametrize("seed", SEEDS_THAT_NEED_A_REMOVED_VOTER)
def test_a_membership_change_does_not_prevent_the_election_of_a_leader(seed: int) -> None:
    check_all_members_caught_up(run_history(seed), seed)


def test_commit_age_of_a_partitioned_follower_grows() -> None:
    cluster = SimulatedCluster(3, voter_count=3)
    cluster.heal()
    for _ in range(100):
        cluster.step()
    leader = cluster.leaders()[0]
    follower = next(node for node in cluster.nodes.values() if node.name in "abc" and node is not leader)
    assert follower.commit_age_ticks < 20
    assert leader.commit_age_ticks < 20
    cluster.cut_links.add((leader.name, follower.name))
    before = follower.commit_age_ticks
    for _ in range(60):
        cluster.step()
    assert follower.commit_age_ticks >= before + 50, "the age did not grow without messages from the leader"


def test_a_restart_after_installing_a_snapshot_continues_the_log() -> None:
    """In this history, a node keeps the entries after an installed snapshot and restarts with them."""
    run_history(1105)
