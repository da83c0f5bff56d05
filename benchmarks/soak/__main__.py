"""Runs seeds of the soak test: `python benchmarks/soak --seeds 1-50 [--parallel N] [--planted NAME]`."""

import argparse
import asyncio
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from soak.balancers import PROGRAM, planted_program  # noqa: E402
from soak.planted_faults import PLANTED_FAULTS  # noqa: E402
from soak.report import run_seeds  # noqa: E402


def main() -> int:
    """Run the seeds. Return 0 if no run violated a rule, else 1."""
    parser = argparse.ArgumentParser(description="Runs a seeded soak test of running balancers.")
    parser.add_argument("--seeds", default="1-50", help="FIRST-LAST")
    parser.add_argument("--parallel", type=int, default=3, help="number of seeds that run concurrently")
    parser.add_argument(
        "--planted",
        choices=sorted(PLANTED_FAULTS),
        help="run balancers with this fault, which the soak test has to find",
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    program = planted_program(options.planted) if options.planted else PROGRAM
    results = asyncio.run(run_seeds(range(int(first), int(last or first) + 1), options.parallel, program))
    failed = [result.record.seed for result in results if result.violations]
    print(f"{len(failed)} of {len(results)} seeds violated a rule: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
