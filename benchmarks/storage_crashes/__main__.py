"""Runs random histories: `python benchmarks/storage_crashes --seeds 1-10000 [--planted NAME]`."""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from contextlib import nullcontext
from functools import partial
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from storage_crashes.history import run_seed  # noqa: E402
from storage_crashes.planted_faults import PLANTED_FAULTS, planted  # noqa: E402

SEEDS_PER_TASK = 50


def run(fault: str | None, seed: int) -> str | None:
    """Run one seed, with a planted fault if one is given."""
    with planted(fault) if fault else nullcontext():
        return run_seed(seed)


def main() -> int:
    """Run the seeds. Return 0 if no history violated a rule, else 1."""
    parser = argparse.ArgumentParser(
        description="Runs random histories of the store's storage with failures."
    )
    parser.add_argument("--seeds", default="1-10000", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=4, help="number of processes")
    parser.add_argument(
        "--planted", choices=sorted(PLANTED_FAULTS), help="plant a fault that has to be found"
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    with ProcessPoolExecutor(options.parallel) as pool:
        found = pool.map(partial(run, options.planted), seeds, chunksize=SEEDS_PER_TASK)
        violations = [violation for violation in found if violation]
    for violation in violations[:10]:
        print(violation)
    print(f"{len(violations)} of {len(seeds)} seeds violated a rule")
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
