"""The servers that discovery has reported. Pure: the time is an argument, in microseconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint

MAX_REMEMBERED_GONE = 50_000  # servers reported gone; the oldest are forgotten first


@dataclass(slots=True)
class DiscoveryState:
    """The servers that discovery has reported, and the times of its reports."""

    listening_since_us: int  # start of this balancer's first call to discovery
    endpoints: dict[str, ResolvedEndpoint] = field(default_factory=dict)  # ready or draining, by name
    gone: dict[str, None] = field(default_factory=dict)  # an ordered set of names, the oldest first
    last_report_at_us: int | None = None  # the last update or keepalive
    steady_since_us: int | None = None  # first report since the last failed call

    def copy(self) -> "DiscoveryState":
        """Copy the servers for a merge in another thread, without the times of the reports."""
        return DiscoveryState(self.listening_since_us, dict(self.endpoints), dict(self.gone))

    def adopt(self, known: Mapping[str, ResolvedEndpoint]) -> None:
        """Add servers that discovery reported before this object existed. It does not count as a report."""
        self.endpoints |= known

    def apply_update(
        self, now_us: int, update: Mapping[str, ResolvedEndpoint], kind: api.EndpointUpdateKind
    ) -> list[ResolvedEndpoint]:
        """Record a complete list of servers, or the changes to one.

        A cached list does not count as a report, because it comes from the platform's file.

        Returns:
            The servers that must not get new connections: those draining and those gone.

        """
        unavailable = []
        for name, resolved in update.items():
            if resolved.endpoint.state == api.EndpointState.GONE:
                unavailable.append(self._remove(name, resolved))
                continue
            self.endpoints[name] = resolved
            self.gone.pop(name, None)
            if not resolved.endpoint.is_ready:
                unavailable.append(resolved)
        if kind is not api.EndpointUpdateKind.DELTA:
            missing = [name for name in self.endpoints if name not in update]
            unavailable += [self._remove(name, self.endpoints[name]) for name in missing]
        if kind is not api.EndpointUpdateKind.CACHED:
            self.record_report(now_us)
        return unavailable

    def record_report(self, now_us: int) -> None:
        """Record the time of a report, which may be a keepalive."""
        self.last_report_at_us = now_us
        if self.steady_since_us is None:
            self.steady_since_us = now_us

    def record_failure(self) -> None:
        """Record that a call to discovery has failed or ended."""
        self.steady_since_us = None

    def _remove(self, name: str, resolved: ResolvedEndpoint) -> ResolvedEndpoint:
        """Remember the server as gone, and return it as gone."""
        self.endpoints.pop(name, None)
        self.gone[name] = None
        while len(self.gone) > MAX_REMEMBERED_GONE:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
        return ResolvedEndpoint(replace(resolved.endpoint, state=api.EndpointState.GONE), None)
