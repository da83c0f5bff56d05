"""Keeps the servers that discovery has reported. Pure: the time is an argument, in microseconds."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint

MAX_REMEMBERED_GONE = 50_000  # maximum length of DiscoveryState.gone; the oldest are removed


@dataclass(slots=True)
class DiscoveryState:
    """The servers that discovery has reported, and the times of its reports."""

    watch_started_at_us: int  # start of the first watch of discovery
    endpoints: dict[str, ResolvedEndpoint] = field(default_factory=dict)  # ready or draining, by name
    gone: dict[str, None] = field(default_factory=dict)  # used as an ordered set, the oldest first
    last_report_at_us: int | None = None  # last update or keepalive
    reporting_since_us: int | None = None  # first report since the last failed watch

    def copy(self) -> "DiscoveryState":
        """Return a copy for a merge in another thread, without the times of the reports."""
        return DiscoveryState(self.watch_started_at_us, dict(self.endpoints), dict(self.gone))

    def adopt(self, known: Mapping[str, ResolvedEndpoint]) -> None:
        """Add servers that discovery reported before this object existed. This does not count as a report."""
        self.endpoints |= known

    def apply_update(
        self, now_us: int, update: Mapping[str, ResolvedEndpoint], kind: api.EndpointUpdateKind
    ) -> list[ResolvedEndpoint]:
        """Apply a complete list of servers or a delta.

        A cached list does not count as a report, because it is read from the platform's file.

        Returns:
            The draining and gone servers, which must not receive new connections.

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
        """Record the time of a report: an update or a keepalive."""
        self.last_report_at_us = now_us
        if self.reporting_since_us is None:
            self.reporting_since_us = now_us

    def record_failure(self) -> None:
        """Record that a watch of discovery has failed or ended."""
        self.reporting_since_us = None

    def _remove(self, name: str, resolved: ResolvedEndpoint) -> ResolvedEndpoint:
        """Move the server to the gone servers, and return it with the state GONE."""
        self.endpoints.pop(name, None)
        self.gone[name] = None
        while len(self.gone) > MAX_REMEMBERED_GONE:
            oldest = next(iter(self.gone))
            del self.gone[oldest]
        return ResolvedEndpoint(replace(resolved.endpoint, state=api.EndpointState.GONE), None)
