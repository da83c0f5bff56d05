"""Servers that leave a client's lines without answer: TCP tells nothing of one that is cut off."""

import asyncio

from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

INTERVAL_S = 0.5
# Without an answer to a client's line. Lines come every 2 s, and a connection that returns nothing must be
# ended within 7 s: the next line, this, and an interval come to 6.5.
UNRESPONSIVE_AFTER_US = 4_000_000


class UnresponsiveUpstreamDetector:
    """Migrates the clients whose server does not answer their lines."""

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients

    async def run(self) -> None:
        """Look at all sessions at each interval, for ever."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            now_us = self._clients.decisions.now()
            for connection in list(self._clients.connections.values()):
                session = connection.session
                if session and session.unanswered_us(now_us) > UNRESPONSIVE_AFTER_US:
                    connection.migrate(MigrationReason.UPSTREAM_UNRESPONSIVE)
