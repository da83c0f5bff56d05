"""Detects servers that do not answer their clients' lines. TCP does not report a server that is cut off."""

import asyncio

from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

CHECK_INTERVAL_S = 0.5
# A client sends a line every 2 s, and its connection must end within 7 s after a server falls silent.
# 2 s + UNRESPONSIVE_AFTER_US + CHECK_INTERVAL_S is 6.5 s.
UNRESPONSIVE_AFTER_US = 4_000_000  # time without an answer to a client's line


class UnresponsiveUpstreamDetector:
    """Migrates the clients whose server does not answer their lines."""

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients

    async def run(self) -> None:
        """Check all sessions every CHECK_INTERVAL_S. Never returns."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_us = self._clients.decisions.now()
            for connection in list(self._clients.connections.values()):
                session = connection.session
                if session and session.unanswered_us(now_us) > UNRESPONSIVE_AFTER_US:
                    connection.migrate(MigrationReason.UPSTREAM_UNRESPONSIVE)
