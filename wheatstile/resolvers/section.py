"""The `servers` section of the operator's file, applied at the start and at each reload."""

import asyncio
import sys
from pathlib import Path

import structlog

from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.endpoint_merger import EndpointMerger
from wheatstile.resolvers.source import EndpointFileSource
from wheatstile.resolvers.source_selection import MergePolicy

log = structlog.get_logger()

# After so long a thread that computes gives way to the event loop, which may have to wait for it at each of
# its system calls: at Python's own 0.005 s a setup beside a reader of 1,000 servers took up to 80 ms.
THREAD_SWITCH_INTERVAL_S = 0.0005
RESTART_DELAY_S = 1.0  # after a fault of the program in the source


class ServersSection:
    """Puts an EndpointMerger between discovery and the decision module while an endpoint file is configured.

    Owns the merger, the file's source and the task that runs it.
    """

    def __init__(
        self, decisions: DecisionLoop, upstreams: UpstreamPool, discovery_watcher: DiscoveryWatcher
    ) -> None:
        self.decisions = decisions
        self.upstreams = upstreams
        self.discovery_watcher = discovery_watcher
        self._merger: EndpointMerger | None = None
        self._source: EndpointFileSource | None = None
        self._task: asyncio.Task[None] | None = None
        self._applied: tuple[Path, Servers] | None = None  # the operator's file and its section

    def follow(self, operator: OperatorFile) -> None:
        """Apply the section. What it does not change goes on undisturbed."""
        servers = operator.settings.servers
        if self._applied == (operator.path, servers):
            return
        self._applied = (operator.path, servers)
        if servers.file:
            self._switch_on(operator)
        else:
            self._switch_off()

    def close(self) -> None:
        """Stop reading and merging."""
        self._cancel_task()
        if self._merger:
            self._merger.close()

    def _switch_on(self, operator: OperatorFile) -> None:
        policy = MergePolicy.from_settings(operator.settings.servers)
        if self._merger is None:
            self._merger = self._install_merger(policy)
        self._merger.set_policy(policy)
        self._cancel_task()
        source = EndpointFileSource(operator, self._merger)
        if self._source and self._source.path == source.path:
            source.active_file = self._source.active_file  # another path starts anew, as at the start
        self._source = source
        self._task = asyncio.create_task(self._run(source))

    def _install_merger(self, policy: MergePolicy) -> EndpointMerger:
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        merger = EndpointMerger(self.decisions, self.upstreams, policy)
        merger.adopt_known_endpoints()
        self.discovery_watcher.observer = merger
        return merger

    def _switch_off(self) -> None:
        self._cancel_task()
        self._source = None
        if self._merger:
            self.discovery_watcher.observer = DiscoveryOnlyObserver(self.decisions, self.upstreams)
            self._merger.revert_to_discovery()
            self._merger = None

    async def _run(self, source: EndpointFileSource) -> None:
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
