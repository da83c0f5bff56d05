"""The configuration of one member."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

DEFAULT_CLUSTER = "wheatstile"
DEFAULT_COMPACT_EVERY = 5_000


@dataclass(frozen=True)
class MemberConfig:
    """The identity of one member, and where it stores its data."""

    name: str
    voters: frozenset[str]
    """The cluster's initial voters; empty for a member that will be added to a running cluster."""
    directory: Path
    cluster: str = DEFAULT_CLUSTER
    seed: int = 0
    """Seeds the random election time-outs, together with the name."""
    trace: bool = False
    """Prints each role, snapshot and applied entry on standard output, for tests that check histories."""
    compact_every: int = DEFAULT_COMPACT_EVERY
    """The number of applied entries after which the log is compacted into a snapshot."""
