"""Pool of the servers in the endpoint list, with their health checkers."""

from collections.abc import Collection

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.health_checker import HealthCheckConnections, HealthChecker
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_attempt import UpstreamAttempt


class UpstreamPool:
    """Holds all servers by name, creates attempts and starts health checks."""

    def __init__(self, decision_loop: DecisionLoop, limits: UpstreamLimits) -> None:
        self.by_name: dict[str, Upstream] = {}
        self._decision_loop = decision_loop
        self._health_check_connections = HealthCheckConnections(limits)
        self._health_checkers: dict[Upstream, HealthChecker] = {}

    @property
    def limits(self) -> UpstreamLimits:
        """The limits for connections to servers. A reload replaces them and keeps open connections."""
        return self._health_check_connections.limits

    @limits.setter
    def limits(self, limits: UpstreamLimits) -> None:
        self._health_check_connections.limits = limits

    @property
    def max_health_check_connections(self) -> int:
        """The maximum number of open health check connections."""
        return self._health_check_connections.max_open

    def update(self, members: Collection[ResolvedEndpoint], complete: bool) -> None:
        """Apply an endpoint list. A changed address applies to new connections only.

        Removes servers without an address, and servers that a complete list does not contain.
        """
        addresses = {member.endpoint.name: member.address for member in members}
        for member in members:
            if member.address is not None:
                self._add_or_update(member.endpoint, member.address)
        for name in list(self.by_name) if complete else addresses:
            if addresses.get(name) is None and name in self.by_name:
                self._remove(name)

    def _add_or_update(self, endpoint: api.Endpoint, address: tuple[str, int]) -> None:
        """Add a server, or update the existing one with this name."""
        if endpoint.name not in self.by_name:
            self.by_name[endpoint.name] = Upstream(endpoint.name, address)
        upstream = self.by_name[endpoint.name]
        upstream.address = address
        upstream.draining_or_gone = endpoint.state != api.EndpointState.READY

    def _remove(self, name: str) -> None:
        upstream = self.by_name.pop(name)
        upstream.draining_or_gone = True
        if checker := self._health_checkers.pop(upstream, None):
            checker.stop()

    def new_attempt(self, server: str) -> UpstreamAttempt | None:
        """Return a new attempt at this server, or None if the server is not in the endpoint list."""
        upstream = self.by_name.get(server)
        return UpstreamAttempt(upstream, self.limits) if upstream else None

    def check_health(self, server: str) -> None:
        """Start a health check of this server. Exactly one HealthCheckResult is dispatched for it."""
        upstream = self.by_name.get(server)
        if upstream is None:
            result = api.HealthCheckResult(server, api.AttemptOutcome.CONNECT_FAILED)
            self._decision_loop.dispatch(result)
            return
        if upstream not in self._health_checkers:
            self._health_checkers[upstream] = HealthChecker(
                upstream, self._decision_loop, self._health_check_connections
            )
        self._health_checkers[upstream].request_check()
