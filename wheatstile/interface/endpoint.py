"""A server in the list of servers, and its load reports."""

from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.interface.enumerations import DeduplicationScope, EndpointState

_READY = EndpointState.READY  # cached: access to an enumeration's member is slow in Python 3.11
LoadReport: TypeAlias = dict[str, float]
"""The figures of a server's load report by `LoadMetric`; each is finite and 0 or more."""


@dataclass(slots=True)
class Endpoint:
    """One server as discovery lists it."""

    name: str
    state: EndpointState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_us: int = 0  # start of its process, on the module's clock; 0: long ago

    @property
    def is_ready(self) -> bool:
        """Whether it accepts new connections."""
        return self.state == _READY

    def shares_scope(self, other: "Endpoint", scope: DeduplicationScope) -> bool:
        """Return whether both servers recognize the same idempotency key as a repeat."""
        match scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return self.zone == other.zone
            case DeduplicationScope.CELL:
                return self.cell == other.cell
            case DeduplicationScope.UNKNOWN:
                return False
