"""Replaces voters one after another, with members as processes, while the leader is killed or isolated.

`python benchmarks/store_replacement.py` runs many rounds.
"""

from __future__ import annotations

import random
from pathlib import Path

from member_replacement import MAX_TIME_TO_NEXT_WRITE_S, MemberReplacement, Round
from process_cluster import ProcessCluster, check_member_output, run_scenario

ROUNDS = 3


def test_writes_are_acknowledged_in_time_after_each_replacement_of_a_voter(tmp_path: Path) -> None:
    """Guards against a cluster that has no leader after a membership change."""
    rounds: list[Round] = []

    async def scenario(cluster: ProcessCluster) -> None:
        replacement = MemberReplacement(cluster, random.Random(1))
        await replacement.start("abc")
        rounds.extend([await replacement.run_round(number) for number in range(ROUNDS)])

    output = run_scenario(ProcessCluster(tmp_path, 1, "abcd"), scenario, voters="abc")
    assert check_member_output(output) > ROUNDS
    assert [each for each in rounds if each.time_to_next_write_s > MAX_TIME_TO_NEXT_WRITE_S] == []
