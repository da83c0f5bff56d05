"""Voters of real processes are replaced one after another while their leader is killed or isolated.

`python benchmarks/store_replacement.py` plays many rounds.
"""

from __future__ import annotations

import random
from pathlib import Path

from member_replacement import MAX_LEADERLESS_S, MemberReplacement, Round
from process_cluster import ProcessCluster, check_applied, run_scenario

ROUNDS = 3


def test_a_leader_is_found_after_each_replacement_of_a_voter(tmp_path: Path) -> None:
    """Guards against a store that has no leader after a change of members."""
    rounds: list[Round] = []

    async def scenario(cluster: ProcessCluster) -> None:
        replacement = MemberReplacement(cluster, random.Random(1))
        await replacement.start("abc")
        rounds.extend([await replacement.play(number) for number in range(ROUNDS)])

    output = run_scenario(ProcessCluster(tmp_path, 1, "abcd"), scenario, voters="abc")
    assert check_applied(output) > ROUNDS
    assert [played for played in rounds if played.leaderless_s > MAX_LEADERLESS_S] == []
