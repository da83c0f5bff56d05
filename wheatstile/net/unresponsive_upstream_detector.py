"""Detector of servers that do not answer their clients' lines. TCP does not report a network partition."""

import asyncio

from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

CHECK_INTERVAL_S = 0.5
# A client sends a line every 2 s, and must be migrated within 7 s after its server stops answering.
# 2 s + UNRESPONSIVE_AFTER_US + CHECK_INTERVAL_S is 6.5 s.
UNRESPONSIVE_AFTER_US = 4_000_000  # maximum time that a client's line may be unanswered


class UnresponsiveUpstreamDetector:
    """Migrates clients whose server does not answer their lines."""

    def __init__(self, client_listener: ClientListener) -> None:
        self._client_listener = client_listener

    async def run(self) -> None:
        """Check all sessions every CHECK_INTERVAL_S. Never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_us = self._client_listener.decision_loop.now()
            for connection in list(self._client_listener.connections.values()):
                session = connection.session
                if session and session.unanswered_us(now_us) > UNRESPONSIVE_AFTER_US:
                    connection.migrate(MigrationReason.UPSTREAM_UNRESPONSIVE)
