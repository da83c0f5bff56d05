"""Shutdown of the clients' connections: sessions are migrated, and all other clients get an answer."""

import asyncio
import socket

from wheatstile import interface as api
from wheatstile.net.client_connection import ClientConnection
from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

MAX_MIGRATION_INTERVAL_S = 0.1
CLOSE_INTERVAL_S = 0.02


class GracefulShutdown:
    """Migrates a listener's sessions, then closes the listener and all connections that are left."""

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients

    async def migrate_sessions(self, duration_s: float) -> None:
        """Migrate every session, spread evenly over `duration_s`. New clients are still served meanwhile."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while self._clients.decisions.sessions and (remaining_s := end_s - loop.time()) > 0:
            established = self._established()
            if established:
                established[0].migrate(MigrationReason.SHUTDOWN)
            await asyncio.sleep(min(MAX_MIGRATION_INTERVAL_S, remaining_s / (len(established) + 1)))

    def _established(self) -> list[ClientConnection]:
        """Return the connections with a session that can be migrated, the oldest first."""
        return [
            connection
            for connection in self._clients.connections.values()
            if connection.session and connection.session.can_migrate
        ]

    async def close(self, listener: socket.socket) -> None:
        """Answer all clients without an established session, including those in the backlog.

        Nothing else may accept from the listener during this call. The listener is closed in the turn of the
        event loop in which its backlog is found empty, so the kernel refuses each later client, whose request
        then is known not to have been taken.

        Returns when all connections have ended. Each peer has LINGER_S to take its last line.
        """
        self._clients.decisions.dispatch(api.ShutdownStarted())
        while self._clients.accept(listener):
            pass
        listener.close()
        while self._clients.connections:
            for connection in self._clients.connections.values():
                connection.migrate(MigrationReason.SHUTDOWN)  # its session may just have been established
                connection.reject()
            await asyncio.wait(self._clients.connections, timeout=CLOSE_INTERVAL_S)
