"""Merges discovery with the endpoint file and sends each change to the decision module."""

import asyncio
from collections.abc import Mapping

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
from wheatstile.resolvers.source_selection import (
    MICROSECONDS_PER_SECOND,
    EndpointSource,
    MergePolicy,
    SourceSelection,
    select_source,
)

log = structlog.get_logger()

# Servers that are merged on the event loop, which takes a few milliseconds; more are merged in a thread.
MAX_ENDPOINTS_MERGED_ON_LOOP = 2000
MAX_THREAD_MERGES = 3  # that updates may make obsolete, one after another, before one merge runs on the loop
ADDRESS_BATCH_SIZE = 1000  # addresses that are updated between two turns of the event loop
MIN_TIMER_DELAY_S = 0.001


class EndpointMerger:
    """Discovery's observer while an endpoint file is configured. Owns the merged list of servers.

    Short lists are merged at once, long ones in a thread; either way the decision module gets each change of
    the list as one update, never a part of it.
    """

    def __init__(self, decisions: DecisionLoop, upstreams: UpstreamPool, policy: MergePolicy) -> None:
        self.decisions = decisions
        self.upstreams = upstreams
        self._publisher = EndpointPublisher(decisions, upstreams)
        self.policy = policy
        self.discovery = DiscoveryState(decisions.now())
        self.file_endpoints: Mapping[str, ResolvedEndpoint] = {}
        self.endpoints: dict[str, MergedEndpoint] = {}
        self.selection: SourceSelection | None = None
        self._revision = 0  # counts the changes of discovery, file and policy
        self._background_merge: asyncio.Task[None] | None = None
        self._overtaken_names: set[str] = set()  # servers whose addresses were set by merges not applied
        self._recheck_timer: asyncio.TimerHandle | None = None

    def adopt_known_endpoints(self) -> None:
        """Start from the servers that discovery alone has reported so far."""
        servers = self.decisions.balancer.servers
        for name, upstream in self.upstreams.by_name.items():
            if name in servers:
                resolved = ResolvedEndpoint(servers[name].endpoint, upstream.address)
                self.discovery.endpoints[name] = resolved
                self.endpoints[name] = MergedEndpoint(resolved, merge.FROM_DISCOVERY)

    def set_policy(self, policy: MergePolicy) -> None:
        """Merge by this policy from now on."""
        if policy != self.policy:
            self.policy = policy
            self.selection = None
            self._on_change()

    def set_file(self, endpoint_file: EndpointFile) -> None:
        """Merge this file's servers from now on."""
        self.file_endpoints = endpoint_file.servers
        self._on_change()

    def on_update(self, snapshot: EndpointSnapshot, kind: api.EndpointUpdateKind) -> None:
        """Take an update from discovery."""
        update = {
            endpoint.name: ResolvedEndpoint(endpoint, snapshot.addresses[endpoint.name])
            for endpoint in snapshot.endpoints
        }
        unavailable = self.discovery.apply_update(self.decisions.now(), update, kind)
        # Before anything else is worked out: no new connections from now on where discovery wants none.
        withdrawn = merge.withdrawn_endpoints(self.endpoints, unavailable)
        if withdrawn:
            self._withdraw(withdrawn)
        self._on_change()

    def on_keepalive(self) -> None:
        """Note that discovery has answered that nothing has changed."""
        self.discovery.record_report(self.decisions.now())
        if self.selection and self.selection.source is EndpointSource.FILE:
            self._recheck_source()

    def on_failure(self) -> None:
        """Note that a call to discovery has ended."""
        self.discovery.record_failure()

    def close(self) -> None:
        """Stop the timer and the merge in the background."""
        self._cancel_recheck()
        if self._background_merge:
            self._background_merge.cancel()

    def revert_to_discovery(self) -> None:
        """Put discovery alone in force and close; servers that only the file named are retired."""
        self.file_endpoints = {}
        self.close()
        selection = SourceSelection(EndpointSource.DISCOVERY, "the file is switched off")
        self._apply(self._merge_input(selection).run())

    def _withdraw(self, withdrawn: list[ResolvedEndpoint]) -> None:
        for resolved in withdrawn:
            name = resolved.endpoint.name
            if resolved.address is None:
                del self.endpoints[name]
            else:
                self.endpoints[name] = MergedEndpoint(resolved, merge.DRAINED_BY_DISCOVERY)
        self._publisher.publish(withdrawn)

    def _select_source(self) -> SourceSelection:
        has_file = bool(self.file_endpoints)
        return select_source(self.decisions.now(), self.policy, self.discovery, has_file, self.selection)

    def _recheck_source(self) -> None:
        """Merge again if another source is in force by now, though no source has changed."""
        selection = self._select_source()
        if self.selection is None or selection.source is not self.selection.source:
            self._on_change()
        else:
            self.selection = selection
            self._schedule_recheck(selection)

    def _schedule_recheck(self, selection: SourceSelection) -> None:
        self._cancel_recheck()
        if selection.recheck_at_us is not None:
            delay_s = (selection.recheck_at_us - self.decisions.now()) / MICROSECONDS_PER_SECOND
            self._recheck_timer = self.decisions.loop.call_later(
                max(0.0, delay_s) + MIN_TIMER_DELAY_S, self._recheck_source
            )

    def _cancel_recheck(self) -> None:
        if self._recheck_timer:
            self._recheck_timer.cancel()
            self._recheck_timer = None

    def _on_change(self) -> None:
        """Merge again: now, or in the background if the lists are long."""
        self._revision += 1
        if self._background_merge:
            return  # it sees the new revision
        if len(self.discovery.endpoints) + len(self.file_endpoints) <= MAX_ENDPOINTS_MERGED_ON_LOOP:
            self._apply(self._merge_input(self._select_source()).run())
        else:
            self._background_merge = asyncio.create_task(self._merge_in_background())

    def _merge_input(self, selection: SourceSelection) -> MergeInput:
        return MergeInput(
            self.decisions.now(), selection, self.discovery, self.file_endpoints, self.endpoints
        )

    async def _merge_in_background(self) -> None:
        """Merge until the result is that of the newest revision."""
        try:
            merged_revision = -1
            while merged_revision != self._revision:
                result = await self._merge_in_thread()
                merged_revision = self._revision
                if result:
                    self._apply(result, addresses_are_updated=True)
                else:
                    self._apply(self._merge_input(self._select_source()).run())
        except Exception:
            log.exception("endpoint_merge_failed")
        finally:
            # Here and not in a callback of the task: a change in between would be seen by neither.
            self._background_merge = None

    async def _merge_in_thread(self) -> MergeResult | None:
        """Merge the present revision in a thread; None if each merge was overtaken by a change."""
        for _ in range(MAX_THREAD_MERGES):
            revision = self._revision
            merge_input = self._merge_input(self._select_source()).copy()
            result = await asyncio.to_thread(merge_input.run)
            # New addresses change no decision, so they may come in batches before the update itself.
            for start in range(0, len(result.changes), ADDRESS_BATCH_SIZE):
                self._publisher.update_addresses(result.changes[start : start + ADDRESS_BATCH_SIZE])
                await asyncio.sleep(0)
            if revision == self._revision:
                return result
            self._overtaken_names.update(resolved.endpoint.name for resolved in result.changes)
        return None

    def _apply(self, result: MergeResult, addresses_are_updated: bool = False) -> None:
        previous = self.selection
        self.selection = result.selection
        self.endpoints = result.endpoints
        if previous is None or previous.source is not result.selection.source:
            self._report_source(result)
        if result.changes:
            if not addresses_are_updated:
                self._publisher.update_addresses(result.changes)
            self._publisher.dispatch(result.changes)
        self._correct_overtaken_addresses()
        self._schedule_recheck(result.selection)

    def _correct_overtaken_addresses(self) -> None:
        """Set the addresses again that a merge set before a change overtook it."""
        listed = self._overtaken_names & self.endpoints.keys()
        self._publisher.update_addresses([self.endpoints[name].resolved for name in listed])
        self._publisher.remove_addresses(self._overtaken_names - listed)
        self._overtaken_names.clear()

    def _report_source(self, result: MergeResult) -> None:
        self.decisions.counters[f"endpoint_source_{result.selection.source}_selected"] += 1
        log.info(
            "endpoint_source_selected",
            source=result.selection.source,
            reason=result.selection.reason,
            ready=len(merge.ready_names(result.endpoints)),
            changed=len(result.changes),
        )
