"""Sends changes of the merged list to the decision module and to the upstreams."""

from collections.abc import Iterable

import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.gc_pause import gc_paused

log = structlog.get_logger()


class EndpointPublisher:
    """Keeps the order of an update: new addresses first, then the decision module, then what is gone."""

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool) -> None:
        self._decisions = decisions
        self._upstreams = upstreams

    def publish(self, changes: list[ResolvedEndpoint]) -> None:
        """Send these changes as one update."""
        self.update_addresses(changes)
        self.dispatch(changes)

    def update_addresses(self, changes: list[ResolvedEndpoint]) -> None:
        """Set the addresses of new and changed servers, which changes no decision."""
        self._upstreams.update([resolved for resolved in changes if resolved.address], False)

    def remove_addresses(self, names: Iterable[str]) -> None:
        """Remove servers that the decision module does not have, or has as gone."""
        gone = [ResolvedEndpoint(api.Endpoint(name, api.EndpointState.GONE), None) for name in names]
        self._upstreams.update(gone, False)

    def dispatch(self, changes: list[ResolvedEndpoint]) -> None:
        """Send changes whose addresses are set to the decision module, then remove the gone servers."""
        endpoints = [resolved.endpoint for resolved in changes]
        with gc_paused():
            self._decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, endpoints))
        gone = [resolved for resolved in changes if resolved.address is None]
        if gone:
            self._upstreams.update(gone, False)
        log.debug("endpoint_update_dispatched", changed=len(changes), gone=len(gone))
