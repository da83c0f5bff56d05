"""Health checks: at most one in flight for each server. Their results update its load and its ejection."""

from collections.abc import Callable
from typing import TypeAlias

from wheatstile import interface as api
from wheatstile.decisions.connection import Connection
from wheatstile.decisions.endpoint_table import EndpointTable
from wheatstile.decisions.event_context import EventContext
from wheatstile.decisions.server import Server

CheckCallback: TypeAlias = Callable[[Connection], None]
CheckWaiter: TypeAlias = tuple[CheckCallback, Connection]  # callback for the end of a check, and its argument


class HealthChecks:
    """Requests health checks, adds callers to a check in flight, and records the results."""

    def __init__(self, context: EventContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self._waiters: dict[Server, list[CheckWaiter]] = {}  # keyed by the server being checked

    def is_in_flight(self, server: Server) -> bool:
        """Return whether a health check of this server is in flight."""
        return server in self._waiters

    def is_any_in_flight(self, servers: list[Server]) -> bool:
        """Return whether a health check of any of these servers is in flight."""
        return not self._waiters.keys().isdisjoint(servers)

    def check(self, server: Server, callback: CheckCallback, connection: Connection) -> None:
        """Check a server, then call `callback` with the connection; at once if checks are disabled."""
        if not self._context.health_checks_enabled:
            callback(connection)
            return
        waiters = self._waiters.get(server)
        if waiters is None:
            waiters = self._waiters[server] = []
            self._context.add_action(api.CheckHealth(server.endpoint.name))
        waiters.append((callback, connection))

    def check_server_of(self, connection: Connection, callback: CheckCallback) -> None:
        """Check the server of a connection, if it has one."""
        if connection.server:
            self.check(connection.server, callback, connection)

    def on_result(self, event: api.HealthCheckResult) -> Server | None:
        """Record a result and run the callbacks. Return the server; None if it was not being checked."""
        server = self._endpoints.servers.get(event.server)
        if server is None or server not in self._waiters:
            return None
        waiters = self._waiters.pop(server)
        self._record(server, event)
        for callback, connection in waiters:
            callback(connection)
        return server

    def _record(self, server: Server, event: api.HealthCheckResult) -> None:
        if event.outcome.is_ok:
            server.load.record_report(event.report or {}, self._context.now_us)
        elif event.outcome is not api.AttemptOutcome.NOT_SENT:
            self._record_failure(server, event.outcome)

    def _record_failure(self, server: Server, outcome: api.AttemptOutcome) -> None:
        """Eject the server, and record its load as unknown or as unreachable.

        Rebalancing migrates the connections of an unreachable server.
        """
        is_reachable = outcome is api.AttemptOutcome.ERROR or _is_first_rejection(server, outcome)
        if is_reachable:
            server.load.mark_unknown()
        else:
            server.load.mark_unreachable()
        server.ejection.record_failure(self._context.now_us)


def _is_first_rejection(server: Server, outcome: api.AttemptOutcome) -> bool:
    """Return whether a server rejects a health check while its load is known and its latency does not grow.

    Many balancers that check a healthy server at the same moment can overload it briefly. The load is unknown
    after the first rejection, so a second rejection in a row counts as an unanswered check.
    """
    is_rejection = outcome is api.AttemptOutcome.OVERLOADED
    return is_rejection and server.load.is_measured and not server.load.lower_bound
