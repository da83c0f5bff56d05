"""Sends changes of the merged list to the upstreams and to the decision module."""

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

ADDRESS_BATCH_SIZE = 1000  # addresses that are set between two turns of the event loop


class EndpointPublisher:
    """Publishes changes of the list of servers in force.

    New addresses are set first, then the decision module is notified, then gone servers are removed. The
    addresses of a long list are set in advance (`prepare`). They must be corrected if the list is then not
    published because a newer one supersedes it.
    """

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool) -> None:
        self._decisions = decisions
        self._upstreams = upstreams
        self._discarded_names: set[str] = set()  # servers whose addresses come from discarded changes

    def publish(self, changes: list[ResolvedEndpoint]) -> None:
        """Set the addresses of these changes, then send them as one update."""
        self._set_addresses(changes)
        self.publish_prepared(changes)

    async def prepare(self, changes: list[ResolvedEndpoint]) -> None:
        """Set the addresses of new and changed servers in batches. It does not affect any decision."""
        for start in range(0, len(changes), ADDRESS_BATCH_SIZE):
            self._set_addresses(changes[start : start + ADDRESS_BATCH_SIZE])
            await asyncio.sleep(0)

    def publish_prepared(self, changes: list[ResolvedEndpoint]) -> None:
        """Send changes whose addresses are set as one update, then remove the gone servers."""
        endpoints = [resolved.endpoint for resolved in changes]
        with gc_paused():
            self._decisions.dispatch(api.EndpointUpdate(api.EndpointUpdateKind.DELTA, endpoints))
        gone = [resolved for resolved in changes if resolved.address is None]
        if gone:
            self._upstreams.update(gone, complete=False)
        log.debug("endpoint_update_dispatched", changed=len(changes), gone=len(gone))

    def discard_prepared(self, changes: list[ResolvedEndpoint]) -> None:
        """Remember changes that were prepared but will not be published."""
        self._discarded_names.update(resolved.endpoint.name for resolved in changes)

    def correct_discarded(self, merged: Mapping[str, MergedEndpoint]) -> None:
        """Set the addresses of discarded changes to those of the published list."""
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
