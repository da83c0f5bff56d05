"""A server in the endpoint list, and its load reports."""

from dataclasses import dataclass
from typing import TypeAlias

from wheatstile.interface.enumerations import DeduplicationScope, EndpointState

_READY = EndpointState.READY  # cached, since access to an enum member is slow in Python 3.11
LoadReport: TypeAlias = dict[str, float]
"""The values of a load report, keyed by `LoadMetric`; each is finite and 0 or more."""


@dataclass(slots=True)
class Endpoint:
    """One server as discovery lists it."""

    name: str
    state: EndpointState
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started_at_us: int = 0  # start of its process, on the module's clock; 0: too long ago to matter

    @property
    def is_ready(self) -> bool:
        """True if the server accepts new connections."""
        return self.state == _READY

    def shares_scope(self, other: "Endpoint", scope: DeduplicationScope) -> bool:
        """Return whether both servers share one record of idempotency keys, for this scope."""
        match scope:
            case DeduplicationScope.ALL:
                return True
            case DeduplicationScope.ZONE:
                return self.zone == other.zone
            case DeduplicationScope.CELL:
                return self.cell == other.cell
            case DeduplicationScope.UNKNOWN:
                return False
