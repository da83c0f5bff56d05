"""Runs the `servers` section in the process of the test, without sockets."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from support.balancer_harness import settings
from support.peer import TIMEOUT_S
from wheatstile.config.operator import OperatorFile, parse
from wheatstile.config.platform import UpstreamLimits
from wheatstile.net.decision_loop import DecisionLoop
from wheatstile.net.discovery_watcher import DiscoveryOnlyObserver, DiscoveryWatcher
from wheatstile.net.upstream_pool import UpstreamPool
from wheatstile.resolvers.section import ServersSection

UNUSED_ADDRESS = ("127.0.0.1", 1)
POLL_INTERVAL_S = 0.01


class ServersSectionHarness:
    """A decision loop and a `servers` section in mode merge, which reads s.json and allows every removal.

    The constructor starts the section's task in the running event loop. `running_servers_section` ends it.
    """

    def __init__(self, directory: Path) -> None:
        self.decision_loop = DecisionLoop(settings(), 1)
        self.upstreams = UpstreamPool(self.decision_loop, UpstreamLimits(1.0, 1.0, False, 0.0, 100))
        observer = DiscoveryOnlyObserver(self.decision_loop, self.upstreams)
        self.discovery_watcher = DiscoveryWatcher(self.decision_loop, observer, UNUSED_ADDRESS)
        self.decision_loop.start(self.upstreams, self.discovery_watcher)
        self.section = ServersSection(self.decision_loop, self.upstreams, self.discovery_watcher)
        self._operator_path = directory / "op"
        self.apply_operator_file()

    def apply_operator_file(self, **changes: object) -> None:
        """Apply the operator's file with these changes to its `servers` section, as a reload does."""
        defaults = {"file": "s.json", "mode": "merge", "recheck_s": 0.1, "most_removed": 1.0}
        operator = parse("op", json.dumps({"servers": defaults | changes}).encode())
        self.section.apply_operator_file(OperatorFile(self._operator_path, operator))

    def ready(self) -> set[str]:
        """Return the names of the servers that are ready for the decision module."""
        return {server.endpoint.name for server in self.decision_loop.balancer.endpoints.ready_servers}

    async def wait_for_counter(self, name: str) -> None:
        """Wait until this counter is above zero. Raises TimeoutError after TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while not self.decision_loop.counters[name]:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_ready(self, *names: str) -> None:
        """Wait until exactly these servers are ready. Raises TimeoutError after TIMEOUT_S."""
        async with asyncio.timeout(TIMEOUT_S):
            while self.ready() != set(names):
                await asyncio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def running_servers_section(directory: Path) -> AsyncIterator[ServersSectionHarness]:
    """Run a section that reads s.json in this directory, until the end of the block."""
    harness = ServersSectionHarness(directory)
    try:
        yield harness
    finally:
        harness.section.close()
