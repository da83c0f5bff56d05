"""Applies the `servers` section of the operator's file at the start and at each reload."""

import asyncio
import sys

import structlog

from wheatstile.config.operator import OperatorFile
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.endpoint_file_source import EndpointFileSource
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.source_selection import MergePolicy

log = structlog.get_logger()

# Time after which another thread releases the GIL if the event loop waits for it. The event loop may have to
# wait after each of its system calls. Python's default is 0.005 s.
THREAD_SWITCH_INTERVAL_S = 0.0005
RESTART_DELAY_S = 1.0  # delay after an unexpected exception in EndpointFileSource


class ServersSection:
    """Inserts an EndpointMerger between discovery and the decision module if an endpoint file is configured.

    Owns the merger, the source of the endpoint file and the task that runs the source.
    """

    def __init__(
        self, decision_loop: DecisionLoop, upstreams: UpstreamPool, discovery_watcher: DiscoveryWatcher
    ) -> None:
        self.decision_loop = decision_loop
        self.upstreams = upstreams
        self.discovery_watcher = discovery_watcher
        self._merger: EndpointMerger | None = None
        self._source: EndpointFileSource | None = None
        self._task: asyncio.Task[None] | None = None
        self._applied: OperatorFile | None = None

    def apply_operator_file(self, operator: OperatorFile) -> None:
        """Apply the section. Does nothing if it has not changed."""
        if self._is_applied(operator):
            return
        self._applied = operator
        if operator.settings.servers.file:
            self._enable(operator)
        else:
            self._disable()

    def close(self) -> None:
        """Stop reading and merging."""
        self._cancel_task()
        if self._merger:
            self._merger.close()

    def _is_applied(self, operator: OperatorFile) -> bool:
        """Return whether the section, and the file that its paths are relative to, are those applied last."""
        if self._applied is None:
            return False
        same_section = self._applied.settings.servers == operator.settings.servers
        return same_section and self._applied.path == operator.path

    def _enable(self, operator: OperatorFile) -> None:
        """Read and watch the endpoint file that the section configures, with the section's settings."""
        policy = MergePolicy.from_settings(operator.settings.servers)
        if self._merger is None:
            self._merger = self._install_merger(policy)
        self._merger.set_policy(policy)
        self._cancel_task()
        self._source = EndpointFileSource(operator, self._merger, previous=self._source)
        self._task = asyncio.create_task(self._run(self._source))

    def _install_merger(self, policy: MergePolicy) -> EndpointMerger:
        """Create a merger, and make it the observer of discovery."""
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        merger = EndpointMerger(self.decision_loop, self.upstreams, policy)
        merger.adopt_known_endpoints()
        self.discovery_watcher.observer = merger
        return merger

    def _disable(self) -> None:
        """Make discovery the only source."""
        self._cancel_task()
        self._source = None
        if self._merger:
            self.discovery_watcher.observer = DiscoveryOnlyObserver(self.decision_loop, self.upstreams)
            self._merger.revert_to_discovery()
            self._merger = None

    async def _run(self, source: EndpointFileSource) -> None:
        """Run the source until cancelled. Restart it after an unexpected exception."""
        while True:
            try:
                await source.run()
            except Exception:
                log.exception("component_failed", component="endpoint_file_source")
            await asyncio.sleep(RESTART_DELAY_S)

    def _cancel_task(self) -> None:
        if self._task:
            self._task.cancel()
            self._task = None
