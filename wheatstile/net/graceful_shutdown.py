"""Graceful shutdown of client connections: migrates sessions and answers all other clients."""

import asyncio
import socket

from wheatstile import interface as api
from wheatstile.net.client_connection import ClientConnection
from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

MAX_MIGRATION_INTERVAL_S = 0.1
CLOSE_POLL_INTERVAL_S = 0.02


class GracefulShutdown:
    """Migrates a listener's sessions, then closes the listener and the remaining connections."""

    def __init__(self, client_listener: ClientListener) -> None:
        self._client_listener = client_listener

    async def migrate_sessions(self, duration_s: float) -> None:
        """Migrate all sessions, evenly over `duration_s`. New clients are still served during that time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while self._client_listener.decision_loop.sessions and (remaining_s := end_s - loop.time()) > 0:
            established = self._established()
            if established:
                established[0].migrate(MigrationReason.SHUTDOWN)
            await asyncio.sleep(min(MAX_MIGRATION_INTERVAL_S, remaining_s / (len(established) + 1)))

    def _established(self) -> list[ClientConnection]:
        """Return the connections whose session can be migrated, oldest first."""
        return [
            connection
            for connection in self._client_listener.connections.values()
            if connection.session and connection.session.can_migrate
        ]

    async def close(self, listener: socket.socket) -> None:
        """Answer all clients without an established session, including those in the backlog.

        Nothing else may accept from the listener during this call. The listener is closed in the same
        iteration of the event loop in which its backlog is found empty. The kernel refuses all later
        connections, so those clients know that their requests were not accepted.

        Returns when all connections are closed. Each peer has LINGER_S to read its last line.
        """
        self._client_listener.decision_loop.dispatch(api.ShutdownStarted())
        while self._client_listener.accept(listener):
            pass
        listener.close()
        while self._client_listener.connections:
            for connection in self._client_listener.connections.values():
                connection.migrate(MigrationReason.SHUTDOWN)  # the session may have just been established
                connection.reject()
            await asyncio.wait(self._client_listener.connections, timeout=CLOSE_POLL_INTERVAL_S)
