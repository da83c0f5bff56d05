"""Runs seeds, and reports each violation with the timeline of its request."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from soak.balancers import PROGRAM
from soak.checks import Violation, check, request_timeline
from soak.records import RunRecord
from soak.run import SoakRun

MAX_TIMELINES = 3


@dataclass(frozen=True)
class SeedResult:
    """The result of one seed."""

    record: RunRecord
    violations: list[Violation]

    def summary(self) -> str:
        """Return one line with the number of violations and the size of the run."""
        record = self.record
        established = sum(request.is_established for request in record.requests)
        restarts = len(record.process_records) - len(
            {process_record.name for process_record in record.process_records}
        )
        return (
            f"seed {record.seed}: {len(self.violations)} violations; {len(record.requests)} requests, "
            f"{established} sessions, {len(record.attempts)} attempts, {restarts} restarts, "
            f"{'idle clients, ' if record.has_idle_clients else ''}lag {record.max_loop_lag_s * 1000:.0f} ms"
        )

    def failure_report(self) -> str:
        """Return the command that repeats the run, the violations, and timelines for the first of them."""
        lines = [f"python benchmarks/soak --seeds {self.record.seed}-{self.record.seed}"]
        for number, violation in enumerate(self.violations):
            lines.append(f"  {violation.request_id or 'process'}: {violation.rule}")
            if violation.request_id and number < MAX_TIMELINES:
                lines += [f"    {line}" for line in request_timeline(self.record, violation.request_id)]
        return "\n".join(lines)


async def run_seed(seed: int, program: tuple[str, ...] = PROGRAM) -> SeedResult:
    """Run one seed, and check its record."""
    with tempfile.TemporaryDirectory() as directory:
        record = await SoakRun(seed, Path(directory), program).run()
    return SeedResult(record, check(record))


async def run_seeds(
    seeds: Iterable[int], parallel: int, program: tuple[str, ...] = PROGRAM
) -> list[SeedResult]:
    """Run seeds, at most `parallel` of them concurrently, and return the results in their order."""
    semaphore = asyncio.Semaphore(parallel)

    async def run(seed: int) -> SeedResult:
        async with semaphore:
            result = await run_seed(seed, program)
        print(result.summary(), flush=True)
        if result.violations:
            print(result.failure_report(), flush=True)
        return result

    return await asyncio.gather(*(run(seed) for seed in seeds))
