"""Publishes changes of the merged list to the upstreams and the decision module."""

import asyncio
from collections.abc import Iterable, Mapping

import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import ResolvedEndpoint
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.gc_pause import gc_paused
from wheatstile.resolvers.merge import MergedEndpoint

log = structlog.get_logger()

ADDRESS_BATCH_SIZE = 1000  # addresses that are set before control returns to the event loop


class EndpointPublisher:
    """Publishes changes of the merged list of servers.

    New addresses are set first, then the decision module is notified, then gone servers are removed. For a
    long list, `prepare` sets the addresses in advance. They must be corrected if a newer list supersedes this
    one before it is published.
    """

    def __init__(self, decision_loop: DecisionLoop, upstreams: UpstreamPool) -> None:
        self._decision_loop = decision_loop
        self._upstreams = upstreams
        self._discarded_names: set[str] = set()  # servers whose addresses may come from discarded changes

    def publish(self, changes: list[ResolvedEndpoint]) -> None:
        """Set the addresses of the changes, then send the changes as one update."""
        self._set_addresses(changes)
        self.publish_prepared(changes)

    async def prepare(self, changes: list[ResolvedEndpoint]) -> None:
        """Set the addresses of new and changed servers in batches. This does not affect any decision."""
        for start in range(0, len(changes), ADDRESS_BATCH_SIZE):
            self._set_addresses(changes[start : start + ADDRESS_BATCH_SIZE])
            await asyncio.sleep(0)

    def publish_prepared(self, changes: list[ResolvedEndpoint]) -> None:
        """Send prepared changes as one update, then remove the gone servers."""
        endpoints = [resolved.endpoint for resolved in changes]
        with gc_paused():
            self._decision_loop.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, endpoints))
        gone = [resolved for resolved in changes if resolved.address is None]
        if gone:
            self._upstreams.update(gone, complete=False)
        log.debug("endpoint_update_dispatched", changed=len(changes), gone=len(gone))

    def discard_prepared(self, changes: list[ResolvedEndpoint]) -> None:
        """Record that prepared changes will not be published."""
        self._discarded_names.update(resolved.endpoint.name for resolved in changes)

    def correct_discarded(self, merged: Mapping[str, MergedEndpoint]) -> None:
        """Replace the addresses that discarded changes have set by those of the published list."""
        listed = self._discarded_names & merged.keys()
        self._set_addresses([merged[name].resolved for name in listed])
        self._remove_addresses(self._discarded_names - listed)
        self._discarded_names.clear()

    def _set_addresses(self, changes: Iterable[ResolvedEndpoint]) -> None:
        self._upstreams.update([resolved for resolved in changes if resolved.address], complete=False)

    def _remove_addresses(self, names: Iterable[str]) -> None:
        """Remove servers that the decision module does not list."""
        gone = [ResolvedEndpoint(api.Endpoint(name, api.EndpointState.GONE), None) for name in names]
        self._upstreams.update(gone, complete=False)
