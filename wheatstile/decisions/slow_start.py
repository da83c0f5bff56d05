"""Slow start: limits the attempts that this balancer sends to a server that has just started."""

from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import OVERLOAD_THRESHOLD
from wheatstile.decisions.slow_start_budget import FIRST_ATTEMPT_COST, RETRY_COST

MIN_REFILL_PERIOD_US = 1_000_000
MIN_MEAN_LOAD = 0.2  # lower bound of the mean load as a divisor, since an idle fleet has a load near 0


class SlowStart:
    """Gives each server in slow start a budget of attempts."""

    def __init__(
        self,
        context: EventContext,
        endpoints: EndpointTable,
        connections: ConnectionTable,
        fleet_load: FleetLoad,
    ) -> None:
        self._context = context
        self._endpoints = endpoints
        self._connections = connections
        self._fleet_load = fleet_load

    def begin(self, server: Server) -> None:
        """Begin the slow start of a new process, and discard the load of the previous process."""
        context = self._context
        window_us = context.settings.slow_start_overload_window_us
        server.slow_start.reset(server.endpoint.started_at_us, context.now_us, window_us, context.random)
        server.load.mark_unknown()

    def permits(self, server: Server, is_retry: bool) -> bool:
        """Return whether the server's budget permits one more attempt; always true after slow start."""
        started_at_us = server.endpoint.started_at_us
        if started_at_us <= 0:
            return True
        context = self._context
        age_us = context.now_us - started_at_us
        if age_us >= context.settings.slow_start_duration_us:
            return True
        cost = RETRY_COST if is_retry else FIRST_ATTEMPT_COST
        window_us = context.settings.slow_start_overload_window_us
        tokens_per_us = self._tokens_per_us(age_us)
        return server.slow_start.permits(cost, tokens_per_us, window_us, context.now_us, context.random)

    def _tokens_per_us(self, age_us: int) -> float:
        """Return the refill rate for a server of this age.

        The mean load results from the connections of all balancers, divided by the number of ready servers.
        The refills of all balancers therefore add up to the connections that load one server to
        OVERLOAD_THRESHOLD, multiplied by its current capacity and the overload factor.
        """
        settings = self._context.settings
        capacity = max(settings.slow_start_initial_capacity, age_us / settings.slow_start_duration_us)
        connections_per_server = (
            OVERLOAD_THRESHOLD * len(self._connections) / len(self._endpoints.ready_servers)
        )
        target_connections = connections_per_server / max(self._fleet_load.mean(), MIN_MEAN_LOAD) * capacity
        period_us = max(MIN_REFILL_PERIOD_US, settings.slow_start_overload_window_us)
        return target_connections * settings.slow_start_overload_factor / period_us
