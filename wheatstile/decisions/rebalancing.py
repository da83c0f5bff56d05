"""Rebalancing: migrates connections away from overloaded servers.

If only load checks show an overload, connections are migrated only while the fleet is not overloaded.
"""

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection
from wheatstile.decisions.connection_table import ConnectionTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.fleet_load import FleetLoad
from wheatstile.decisions.health_checks import HealthChecks
from wheatstile.decisions.server import Server
from wheatstile.decisions.server_load import (
    OVERLOAD_THRESHOLD,
    SEVERE_OVERLOAD_THRESHOLD,
    UNREACHABLE_LOAD,
)

US_PER_MS = 1000
REBALANCE_INTERVAL_US = 1_000_000  # load reports lag, and show the effect only after this time
# Spreads the health checks, since all balancers learn of a high latency at the same moment.
MAX_REBALANCE_JITTER_US = REBALANCE_INTERVAL_US / 2
UNREACHABLE_RECHECK_US = REBALANCE_INTERVAL_US // 2  # delay after which a paused server may answer again
SETTLING_TIME_US = 2_000_000  # the setup of a connection counts as load for this time
MIN_LOAD_CHECK_INTERVAL_US = 1_000_000  # used after an overload or a change of the endpoint list
MAX_LOAD_CHECK_INTERVAL_US = 4_000_000  # reached while no server is overloaded


class Rebalancer:
    """Finds overloaded servers by message latency or load checks, and migrates their connections."""

    def __init__(
        self,
        context: EventContext,
        connections: ConnectionTable,
        fleet_load: FleetLoad,
        health_checks: HealthChecks,
    ) -> None:
        self._context = context
        self._connections = connections
        self._fleet_load = fleet_load
        self._health_checks = health_checks
        self._load_check_interval_us = MIN_LOAD_CHECK_INTERVAL_US
        self._next_rebalance_us: dict[Server, int] = {}  # earliest time of the next rebalance, by server

    def start(self) -> None:
        """Start the load checks, if message latencies are not reported."""
        context = self._context
        if context.health_checks_enabled and not context.settings.reports_message_latency:
            context.set_jittered_timer(MIN_LOAD_CHECK_INTERVAL_US, api.TimerKind.LOAD_CHECK)

    def on_endpoints_changed(self) -> None:
        """Check loads more often, since the clients of a removed server reconnect to others."""
        self._load_check_interval_us = MIN_LOAD_CHECK_INTERVAL_US

    def on_load_check_due(self) -> None:
        """Check a random server, weighted by the load of its connections, and schedule the next check."""
        self._context.set_timer(self._load_check_interval_us, api.TimerKind.LOAD_CHECK)
        longer_us = self._load_check_interval_us * 3 // 2
        self._load_check_interval_us = min(longer_us, MAX_LOAD_CHECK_INTERVAL_US)
        established = list(self._connections.established)
        if established:
            weights = [1.0 + connection.load for connection in established]
            connection = self._context.random.choices(established, weights)[0]
            self._health_checks.check_server_of(connection, self.on_load_checked)

    def on_repeated_load_check_due(self, connection: Connection) -> None:
        """Check the server of a connection again after a severe overload."""
        self._health_checks.check_server_of(connection, self.on_load_checked)

    def on_rebalance_due(self, connection: Connection) -> None:
        """Check the server of a connection, then rebalance it."""
        self._health_checks.check_server_of(connection, self.rebalance)

    def on_health_check_succeeded(self, server: Server) -> None:
        """Rebalance a server if any health check reports a severe overload, unless latencies are reported."""
        if self._context.settings.reports_message_latency:
            return
        if self._fleet_load.load_of(server) <= SEVERE_OVERLOAD_THRESHOLD:
            return
        connections = self._connections.established_at(server)
        if connections:
            self.on_load_checked(connections[0])

    def on_message_latency(self, connection: Connection, latency_ms: float) -> None:
        """Schedule a rebalance of a server that misses a latency objective, once per rebalance interval."""
        server = connection.server
        if not connection.is_established or not server:
            return
        server.load.record_message_latency(latency_ms)
        is_late = latency_ms * US_PER_MS > connection.service_class.message_latency_objective_us > 0
        if is_late and self._try_begin_interval(server):
            self._context.set_jittered_timer(MAX_REBALANCE_JITTER_US, api.TimerKind.REBALANCE, connection.id)

    def on_load_checked(self, connection: Connection) -> None:
        """Rebalance a connection's server if it is overloaded and the fleet is not.

        A server that did not answer is first checked a second time, since it may only have paused. A severely
        overloaded server is checked again after REBALANCE_INTERVAL_US.
        """
        server = connection.server
        if not server or self._fleet_load.is_overloaded():
            return
        load = self._fleet_load.load_of(server)
        if load <= OVERLOAD_THRESHOLD or not self._try_begin_interval(server):
            return
        self._load_check_interval_us = MIN_LOAD_CHECK_INTERVAL_US
        if load >= UNREACHABLE_LOAD:
            self._context.set_timer(UNREACHABLE_RECHECK_US, api.TimerKind.REBALANCE, connection.id)
            return
        self.rebalance(connection)
        remaining = self._connections.established_at(server)
        if load > SEVERE_OVERLOAD_THRESHOLD and remaining:
            kind = api.TimerKind.REPEATED_LOAD_CHECK
            self._context.set_timer(REBALANCE_INTERVAL_US, kind, remaining[0].id)

    def rebalance(self, connection: Connection) -> None:
        """Migrate a random share of the settled connections at a connection's server.

        The share is the fraction of the server's load above OVERLOAD_THRESHOLD: nearly 1 at UNREACHABLE_LOAD.
        """
        server = connection.server
        if server is None:
            return
        load = max(self._fleet_load.load_of(server), server.load.lower_bound)
        excess = load - OVERLOAD_THRESHOLD
        for candidate in self._connections.established_at(server):
            if self._is_settled(candidate) and self._context.random.random() * load < excess:
                self._context.add_action(api.Migrate(candidate.id))
                self._connections.remove(candidate)

    def _try_begin_interval(self, server: Server) -> bool:
        """Begin a server's next rebalance interval if the last one is over. Return whether it began."""
        if self._next_rebalance_us.get(server, 0) > self._context.now_us:
            return False
        self._next_rebalance_us[server] = self._context.now_us + REBALANCE_INTERVAL_US
        return True

    def _is_settled(self, connection: Connection) -> bool:
        """Return whether a connection is old enough to be migrated. If latencies are reported, any age is."""
        age_us = self._context.now_us - connection.established_at_us
        return self._context.settings.reports_message_latency or age_us >= SETTLING_TIME_US
