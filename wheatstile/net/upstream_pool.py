"""The servers that the endpoint updates have named, with their health checkers."""

from collections.abc import Collection

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.health_checker import HealthCheckConnections, HealthChecker
from wheatstile.net.upstream import Upstream
from wheatstile.net.upstream_attempt import UpstreamAttempt


class UpstreamPool:
    """All servers by name. Attempts and health checks start here."""

    def __init__(self, decisions: DecisionLoop, limits: UpstreamLimits) -> None:
        self.by_name: dict[str, Upstream] = {}
        self._decisions = decisions
        self._health_check_connections = HealthCheckConnections(limits)
        self._health_checkers: dict[Upstream, HealthChecker] = {}

    @property
    def limits(self) -> UpstreamLimits:
        """What the settings say of dealing with servers; a reload replaces it."""
        return self._health_check_connections.limits

    @limits.setter
    def limits(self, limits: UpstreamLimits) -> None:
        """Follow a reload: what is opened next keeps to the new limits."""
        self._health_check_connections.limits = limits

    @property
    def max_health_check_connections(self) -> int:
        """The most connections that health checks may have open."""
        return self._health_check_connections.max_open

    def update(self, members: Collection[ResolvedEndpoint], complete: bool) -> None:
        """Follow the endpoint list: a changed address holds for what is opened next.

        A server without an address is gone, as is one that a complete list does not name.
        """
        latest = {member.endpoint.name: member.address for member in members}
        for endpoint, address in members:
            if address is not None:
                if endpoint.name not in self.by_name:
                    self.by_name[endpoint.name] = Upstream(endpoint.name, address)
                upstream = self.by_name[endpoint.name]
                upstream.address = address
                upstream.leaving = endpoint.state != api.EndpointState.READY
        for name in list(self.by_name) if complete else latest:
            if latest.get(name) is None and name in self.by_name:
                self._remove(name)

    def _remove(self, name: str) -> None:
        upstream = self.by_name.pop(name)
        upstream.leaving = True
        if checker := self._health_checkers.pop(upstream, None):
            checker.stop()

    def new_attempt(self, server: str) -> UpstreamAttempt | None:
        """Return an attempt to open a session at this server; None if the list names it no more."""
        upstream = self.by_name.get(server)
        return UpstreamAttempt(upstream, self.limits) if upstream else None

    def check_health(self, server: str) -> None:
        """Check this server's health; exactly one HealthCheckResult follows."""
        upstream = self.by_name.get(server)
        if upstream is None:
            result = api.HealthCheckResult(server, api.AttemptOutcome.CONNECT_FAILED)
            self._decisions.dispatch(result)
            return
        if upstream not in self._health_checkers:
            self._health_checkers[upstream] = HealthChecker(
                upstream, self._decisions, self._health_check_connections
            )
        self._health_checkers[upstream].request_check()
