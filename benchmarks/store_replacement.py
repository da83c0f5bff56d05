"""Replaces voters of a store cluster while leaders fail: `python benchmarks/store_replacement.py`.

The members are processes. Each round replaces one voter, and kills or isolates the leader during the change.
The time to the next acknowledged write must not exceed a bound, and the histories of the members must agree.
"""

import argparse
import random
import sys
import tempfile
from pathlib import Path
from statistics import median

from tabulate import tabulate

ROOT = Path(__file__).parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests"), str(ROOT / "tests" / "store")]

from member_replacement import MAX_TIME_TO_NEXT_WRITE_S, MemberReplacement, Round  # noqa: E402
from process_cluster import ProcessCluster, check_member_output, run_scenario  # noqa: E402

STANDBY_MEMBERS = 2


def run_rounds(voter_count: int, rounds: int, seed: int) -> list[Round]:
    """Run the rounds on one cluster, check the histories of its members, and return the results."""
    names = "abcdefgh"[: voter_count + STANDBY_MEMBERS]
    results: list[Round] = []

    async def scenario(cluster: ProcessCluster) -> None:
        replacement = MemberReplacement(cluster, random.Random(seed))
        await replacement.start(names[:voter_count])
        for number in range(rounds):
            results.append(await replacement.run_round(number))
            print(results[-1], flush=True)

    with tempfile.TemporaryDirectory() as directory:
        cluster = ProcessCluster(Path(directory), seed, names)
        check_member_output(run_scenario(cluster, scenario, voters=names[:voter_count]))
    return results


def main() -> int:
    """Run the rounds. Return 1 if a round exceeded the bound on the time to the next write, else 0."""
    parser = argparse.ArgumentParser(description="Replaces voters of a store cluster while leaders fail.")
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    times_s = [
        result.time_to_next_write_s for result in run_rounds(options.voters, options.rounds, options.seed)
    ]
    late = sum(time_s > MAX_TIME_TO_NEXT_WRITE_S for time_s in times_s)
    row = [options.voters, len(times_s), late, f"{median(times_s):.2f}", f"{max(times_s):.2f}"]
    print(tabulate([row], ["voters", "rounds", f"over {MAX_TIME_TO_NEXT_WRITE_S:g} s", "p50 s", "longest s"]))
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(main())
