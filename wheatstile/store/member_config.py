"""Configuration of one member."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

DEFAULT_CLUSTER = "wheatstile"
DEFAULT_COMPACT_EVERY = 5_000


@dataclass(frozen=True)
class MemberConfig:
    """The identity of one member, its directory and its options."""

    name: str
    voters: frozenset[str]
    """The cluster's initial voters; empty for a member that will be added to a running cluster."""
    directory: Path
    cluster: str = DEFAULT_CLUSTER
    seed: int = 0
    """Seed of the random election timeouts, combined with the name."""
    trace: bool = False
    """True if won elections, snapshots and applied entries are printed to standard output; used by tests."""
    compact_every: int = DEFAULT_COMPACT_EVERY
    """Number of applied entries after which the log is compacted into a snapshot."""
