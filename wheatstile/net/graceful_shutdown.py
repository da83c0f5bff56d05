"""The end of clients' connections: sessions are migrated, and all others get an answer."""

import asyncio
import socket

from wheatstile import interface as api
from wheatstile.net.client_listener import ClientListener
from wheatstile.net.session import MigrationReason

MAX_MIGRATION_INTERVAL_S = 0.1
CLOSE_INTERVAL_S = 0.02


class GracefulShutdown:
    """Ends what a listener's clients have open. First they are migrated, and then the listener is closed."""

    def __init__(self, clients: ClientListener) -> None:
        self._clients = clients

    async def migrate_sessions(self, duration_s: float) -> None:
        """Migrate every client, spread over this time; whoever comes meanwhile is still served."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while self._clients.decisions.sessions and (remaining_s := end_s - loop.time()) > 0:
            established = [
                connection
                for connection in self._clients.connections.values()
                if connection.session and connection.session.can_migrate
            ]
            if established:
                established[0].migrate(MigrationReason.SHUTDOWN)
            await asyncio.sleep(min(MAX_MIGRATION_INTERVAL_S, remaining_s / (len(established) + 1)))

    async def close(self, listener: socket.socket) -> None:
        """Answer whoever has no established session, and whoever still stands in the backlog.

        Nobody may accept beside this. The listener is closed in the turn in which the backlog was found
        empty: whoever comes later is refused by the kernel, and knows that nobody has taken its request.
        Returns when all connections have ended; each has LINGER_S to take its last line.
        """
        self._clients.decisions.dispatch(api.ShutdownStarted())
        while self._clients.accept(listener):
            pass
        listener.close()
        while self._clients.connections:
            for connection in self._clients.connections.values():
                connection.migrate(MigrationReason.SHUTDOWN)  # a few may have come up in this instant
                connection.reject()
            await asyncio.wait(self._clients.connections, timeout=CLOSE_INTERVAL_S)
