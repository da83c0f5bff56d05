"""Merges the lists of discovery and the endpoint file at each change, and publishes the result."""

import asyncio
from collections.abc import Callable, Mapping

import structlog

from wheatstile import interface as api
from wheatstile.config.endpoints import EndpointSnapshot, ResolvedEndpoint
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers import merge
from wheatstile.resolvers.discovery_state import DiscoveryState
from wheatstile.resolvers.endpoint_file import EndpointFile
from wheatstile.resolvers.endpoint_publisher import EndpointPublisher
from wheatstile.resolvers.merge import MergedEndpoint, MergeInput, MergeResult
from wheatstile.resolvers.ready_endpoints import ready_names
from wheatstile.resolvers.source_selection import (
    US_PER_S,
    EndpointSource,
    MergePolicy,
    SourceSelection,
    select_source,
)

log = structlog.get_logger()

# Longer lists are merged in a thread, because merging them would block the event loop for too long.
MAX_ENDPOINTS_MERGED_ON_LOOP = 2000
MAX_THREAD_MERGES = 3  # superseded merges in a row, after which the merge runs on the event loop
MIN_TIMER_DELAY_S = 0.001


class EndpointMerger:
    """Observes discovery while an endpoint file is configured. Owns the merged list of servers.

    Short lists are merged immediately, long lists in a thread. In both cases the decision module receives
    each change of the list as a single update, never in parts.
    """

    def __init__(self, decision_loop: DecisionLoop, upstreams: UpstreamPool, policy: MergePolicy) -> None:
        self.decision_loop = decision_loop
        self.upstreams = upstreams
        self._publisher = EndpointPublisher(decision_loop, upstreams)
        self.policy = policy
        self.discovery = DiscoveryState(decision_loop.now())
        self.file_endpoints: Mapping[str, ResolvedEndpoint] = {}
        self.endpoints: dict[str, MergedEndpoint] = {}
        self.selection: SourceSelection | None = None
        self._revision = 0  # number of changes to discovery, file and policy
        self._background_merge: asyncio.Task[None] | None = None
        self._recheck_timer: asyncio.TimerHandle | None = None

    def adopt_known_endpoints(self) -> None:
        """Add the servers that the decision module already has from discovery."""
        servers = self.decision_loop.balancer.servers
        known = {
            name: ResolvedEndpoint(servers[name].endpoint, upstream.address)
            for name, upstream in self.upstreams.by_name.items()
            if name in servers
        }
        self.discovery.adopt(known)
        for name, resolved in known.items():
            self.endpoints[name] = MergedEndpoint(resolved, merge.FROM_DISCOVERY)

    def set_policy(self, policy: MergePolicy) -> None:
        """Replace the policy, and merge again if it has changed."""
        if policy != self.policy:
            self.policy = policy
            self.selection = None
            self._on_change()

    def set_file(self, endpoint_file: EndpointFile) -> None:
        """Replace the endpoint file, and merge again."""
        self.file_endpoints = endpoint_file.servers
        self._on_change()

    def on_update(self, snapshot: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Handle an update from discovery."""
        update = {resolved.endpoint.name: resolved for resolved in snapshot.members}
        unavailable = self.discovery.apply_update(self.decision_loop.now(), update, kind)
        # Draining and gone servers are withdrawn at once, because a merge may take long.
        withdrawn = merge.withdrawn_endpoints(self.endpoints, unavailable)
        if withdrawn:
            self._withdraw(withdrawn)
        self._on_change()

    def on_keepalive(self) -> None:
        """Record a keepalive from discovery, after which discovery may become active again."""
        self.discovery.record_report(self.decision_loop.now())
        if self.selection and self.selection.source is EndpointSource.FILE:
            self._recheck_source()

    def on_failure(self) -> None:
        """Record that a watch of discovery has failed or ended."""
        self.discovery.record_failure()

    def close(self) -> None:
        """Cancel the timer and the background merge."""
        self._cancel_recheck()
        if self._background_merge:
            self._background_merge.cancel()

    def revert_to_discovery(self) -> None:
        """Make discovery the only source, retire the servers that only the file lists, and close."""
        self.file_endpoints = {}
        self.close()
        selection = SourceSelection(EndpointSource.DISCOVERY, "no endpoint file is configured any more")
        self._merge_now(selection)

    def _withdraw(self, withdrawn: list[ResolvedEndpoint]) -> None:
        """Publish that these servers are draining or gone, without a merge."""
        for resolved in withdrawn:
            name = resolved.endpoint.name
            if resolved.address is None:
                del self.endpoints[name]
            else:
                self.endpoints[name] = MergedEndpoint(resolved, merge.DRAINED_BY_DISCOVERY)
        self._publisher.publish(withdrawn)

    def _select_source(self) -> SourceSelection:
        has_file = bool(self.file_endpoints)
        return select_source(self.decision_loop.now(), self.policy, self.discovery, has_file, self.selection)

    def _recheck_source(self) -> None:
        """Merge again if the active source has changed. Otherwise schedule the next check."""
        selection = self._select_source()
        if self.selection is None or selection.source is not self.selection.source:
            self._on_change()
        else:
            self.selection = selection
            self._schedule_recheck(selection)

    def _schedule_recheck(self, selection: SourceSelection) -> None:
        self._cancel_recheck()
        if selection.recheck_at_us is not None:
            delay_s = (selection.recheck_at_us - self.decision_loop.now()) / US_PER_S
            self._recheck_timer = self.decision_loop.loop.call_later(
                max(0.0, delay_s) + MIN_TIMER_DELAY_S, self._recheck_source
            )

    def _cancel_recheck(self) -> None:
        if self._recheck_timer:
            self._recheck_timer.cancel()
            self._recheck_timer = None

    def _on_change(self) -> None:
        """Merge again, on the event loop or, if the lists are long, in a thread."""
        self._revision += 1
        if self._background_merge:
            return  # the running merge checks the revision before it ends
        if len(self.discovery.endpoints) + len(self.file_endpoints) <= MAX_ENDPOINTS_MERGED_ON_LOOP:
            self._merge_now(self._select_source())
        else:
            self._background_merge = asyncio.create_task(self._merge_in_background())

    def _merge_input(self, selection: SourceSelection) -> MergeInput:
        return MergeInput(
            self.decision_loop.now(), selection, self.discovery, self.file_endpoints, self.endpoints
        )

    def _merge_now(self, selection: SourceSelection) -> None:
        """Merge on the event loop, and publish the result."""
        result = self._merge_input(selection).run()
        self._apply(result, self._publisher.publish)

    async def _merge_in_background(self) -> None:
        """Merge until the published list is based on the latest revision."""
        try:
            merged_revision = -1
            while merged_revision != self._revision:
                result = await self._merge_in_thread()
                merged_revision = self._revision
                if result:
                    self._apply(result, self._publisher.publish_prepared)
                else:
                    self._merge_now(self._select_source())
        except Exception:
            log.exception("endpoint_merge_failed")
        finally:
            # This is not done in a done callback of the task: a change that arrives before the callback
            # would not be merged.
            self._background_merge = None

    async def _merge_in_thread(self) -> MergeResult | None:
        """Merge in a thread, and set the addresses of the result. Return None if changes superseded it."""
        for _ in range(MAX_THREAD_MERGES):
            revision = self._revision
            merge_input = self._merge_input(self._select_source()).copy()
            result = await asyncio.to_thread(merge_input.run)
            await self._publisher.prepare(result.changes)
            if revision == self._revision:
                return result
            self._publisher.discard_prepared(result.changes)
        return None

    def _apply(self, result: MergeResult, publish: Callable[[list[ResolvedEndpoint]], None]) -> None:
        """Replace the merged list, and publish the changes."""
        previous = self.selection
        self.selection = result.selection
        self.endpoints = result.endpoints
        if previous is None or previous.source is not result.selection.source:
            self._report_source(result)
        if result.changes:
            publish(result.changes)
        self._publisher.correct_discarded(self.endpoints)
        self._schedule_recheck(result.selection)

    def _report_source(self, result: MergeResult) -> None:
        """Count and log the newly selected source."""
        self.decision_loop.counters[f"endpoint_source_{result.selection.source}_selected"] += 1
        log.info(
            "endpoint_source_selected",
            source=result.selection.source,
            reason=result.selection.reason,
            ready=len(ready_names(merge.listed_endpoints(result.endpoints))),
            changed=len(result.changes),
        )
