"""Plays seeds, and reports the broken rules with the story of the client concerned."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from soak.balancers import PROGRAM
from soak.checks import Violation, check, story
from soak.records import RunRecord
from soak.run import SoakRun

MAX_STORIES = 3


@dataclass(frozen=True)
class SeedResult:
    """The result of one seed."""

    record: RunRecord
    violations: list[Violation]

    def summary(self) -> str:
        """Return one line with the size of the run and the number of broken rules."""
        record = self.record
        established = sum(request.is_established for request in record.requests)
        restarts = len(record.lives) - len({life.name for life in record.lives})
        return (
            f"seed {record.seed}: {len(self.violations)} broken rules; {len(record.requests)} requests, "
            f"{established} sessions, {len(record.attempts)} attempts, {restarts} restarts, "
            f"{'crowd, ' if record.has_crowd else ''}lag {record.max_lag_s * 1000:.0f} ms"
        )

    def failure(self) -> str:
        """Return the command that repeats the seed, the broken rules, and the first stories."""
        lines = [f"python benchmarks/soak --seeds {self.record.seed}-{self.record.seed}"]
        for number, violation in enumerate(self.violations):
            lines.append(f"  {violation.request_id or 'process'}: {violation.rule}")
            if violation.request_id and number < MAX_STORIES:
                lines += [f"    {line}" for line in story(self.record, violation.request_id)]
        return "\n".join(lines)


async def play_seed(seed: int, program: tuple[str, ...] = PROGRAM) -> SeedResult:
    """Play one seed, and check its record."""
    with tempfile.TemporaryDirectory() as folder:
        record = await SoakRun(seed, Path(folder), program).play()
    return SeedResult(record, check(record))


async def play_seeds(
    seeds: Iterable[int], parallel: int, program: tuple[str, ...] = PROGRAM
) -> list[SeedResult]:
    """Play seeds, `parallel` of them at a time, and return their results in order."""
    slots = asyncio.Semaphore(parallel)

    async def play(seed: int) -> SeedResult:
        async with slots:
            result = await play_seed(seed, program)
        print(result.summary(), flush=True)
        if result.violations:
            print(result.failure(), flush=True)
        return result

    return await asyncio.gather(*(play(seed) for seed in seeds))
