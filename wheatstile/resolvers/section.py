"""What the operator's file says of servers, followed from the start and from reload to reload."""

import asyncio
import sys

import structlog

from wheatstile.config.operator import OperatorFile, Servers
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.combined import Combined
from wheatstile.resolvers.source import ServersFile, policy_of

log = structlog.get_logger()

# Seconds after which a thread that reads gives way to the loop, which may have to wait so long at each of its
# system calls: at Python's own 0.005 a set-up beside a reader of 1,000 servers took up to 80 ms.
GIVE_WAY = 0.0005
START_AGAIN = 1.0  # seconds after which a reader that failed starts again


class ServersSection:
    """Puts the merge between discovery and the module while a file is on. Owns the merge and the task."""

    def __init__(
        self, decisions: DecisionLoop, upstreams: UpstreamPool, discovery_watcher: DiscoveryWatcher
    ) -> None:
        self.decisions, self.upstreams, self.discovery_watcher = decisions, upstreams, discovery_watcher
        self._combined: Combined | None = None
        self._file: ServersFile | None = None
        self._task: asyncio.Task[None] | None = None
        self._followed: tuple[str, Servers] | None = None

    def follow(self, operator: OperatorFile) -> None:
        """Do as the file says. What it does not change goes on undisturbed."""
        servers = operator.settings.servers
        if self._followed == (str(operator.path), servers):
            return
        self._followed = str(operator.path), servers
        if not servers.file:
            return self._switch_off()
        if self._combined is None:
            sys.setswitchinterval(GIVE_WAY)
            self._combined = Combined(self.decisions, self.upstreams, policy_of(servers))
            self._combined.adopt()
            self.discovery_watcher.observer = self._combined
        self._combined.configure(policy_of(servers))
        old = self._stop()
        self._file = ServersFile(operator, self._combined)
        if old and old.path == self._file.path:
            self._file.document = old.document  # else the new file is held against nothing, as at a start
        self._task = asyncio.create_task(self._run(self._file))

    async def _run(self, file: ServersFile) -> None:
        while True:
            try:
                await file.run()
            except Exception:
                log.exception("component_failed", component="servers_file")
            await asyncio.sleep(START_AGAIN)

    def _stop(self) -> ServersFile | None:
        if self._task:
            self._task.cancel()
            self._task = None
        return self._file

    def _switch_off(self) -> None:
        self._stop()
        self._file = None
        if self._combined:
            self.discovery_watcher.observer = DiscoveryOnlyObserver(self.decisions, self.upstreams)
            self._combined.leave()
            self._combined = None

    def close(self) -> None:
        self._stop()
        if self._combined:
            self._combined.close()
