"""A server in the list of servers, and its load reports."""

from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.interface.enumerations import DeduplicationScope, EndpointState

LoadReport: TypeAlias = dict[str, float]
"""The figures of a server's load report by their names in `LoadMetric`; each is finite and 0 or more."""


@dataclass(slots=True)
class Endpoint:
    """One server in the list of servers."""

    name: str
    state: EndpointState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_us: int = 0  # when its process last started; 0: long ago

    def shares_scope(self, other: "Endpoint", scope: DeduplicationScope) -> bool:
        """Whether these two servers discard each other's repeats."""
        match scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return self.zone == other.zone
            case DeduplicationScope.CELL:
                return self.cell == other.cell
            case DeduplicationScope.UNKNOWN:
                return False
