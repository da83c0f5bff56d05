"""The mean load of the ready servers, and the load that is assumed for a server without a known load."""

from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD, UNREACHABLE_LOAD

ASSUMED_LOAD = 0.5  # used in the mean for a server without a recent report
LOAD_REPORT_TTL_US = 4_000_000  # a report of this age is stale
FULL_LOAD = 1.0  # maximum load that one server adds to the mean


class FleetLoad:
    """Computes the mean load, at most once per event."""

    def __init__(self, context: EventContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self._mean: float | None = None  # None: not computed for this event

    def begin_event(self) -> None:
        """Discard the cached mean, which the last event may have changed."""
        self._mean = None

    def mean(self) -> float:
        """Return the mean load of the ready servers, each counted once.

        An unreachable server is left out. A stale report counts as ASSUMED_LOAD: a balancer that rejects
        requests because of it would receive no newer report.
        """
        if self._mean is None:
            self._mean = self._compute_mean()
        return self._mean

    def load_of(self, server: Server) -> float:
        """Return the last reported load of a server, or the mean load if it is unknown."""
        load = server.load.value
        return self.mean() if load is None else load

    def is_overloaded(self) -> bool:
        """Return whether the mean load has reached OVERLOAD_THRESHOLD."""
        return self.mean() >= OVERLOAD_THRESHOLD

    def _compute_mean(self) -> float:
        cutoff_us = self._context.now_us - LOAD_REPORT_TTL_US
        loads = []
        for load in self._endpoints.ready_loads:
            value = load.value
            if value is None:
                loads.append(ASSUMED_LOAD)
            elif value >= UNREACHABLE_LOAD:
                continue
            elif load.reported_at_us <= cutoff_us:
                loads.append(ASSUMED_LOAD)
            else:
                loads.append(value if value < FULL_LOAD else FULL_LOAD)
        return sum(loads) / len(loads) if loads else ASSUMED_LOAD
