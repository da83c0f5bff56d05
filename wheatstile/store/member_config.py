"""The configuration of one member."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

DEFAULT_CLUSTER = "wheatstile"
DEFAULT_COMPACT_EVERY = 5_000


@dataclass(frozen=True)
class MemberConfig:
    """Who this member is and where it stores its data."""

    name: str
    voters: frozenset[str]
    """The cluster's first voters; empty for a member that is to be added to a running cluster."""
    directory: Path
    cluster: str = DEFAULT_CLUSTER
    seed: int = 0
    """Seeds the draw of election time-outs, together with the name."""
    trace: bool = False
    """Print each role, snapshot and applied entry on standard output, for checkers over histories."""
    compact_every: int = DEFAULT_COMPACT_EVERY
    """Applied entries after which the log is compacted into a snapshot."""
