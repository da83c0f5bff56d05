"""The connections of one balancer, indexed by id and by phase."""

from collections.abc import Collection

from wheatstile.decisions.connection import Connection
from wheatstile.decisions.server import Server


class ConnectionTable:
    """Stores the requests without a final answer, and the open connections."""

    def __init__(self) -> None:
        self._by_id: dict[str, Connection] = {}
        self._established: dict[Connection, None] = {}  # an ordered set

    def __len__(self) -> int:
        """Return the number of requests without a final answer, plus that of open connections."""
        return len(self._by_id)

    def __contains__(self, id: str) -> bool:
        return id in self._by_id

    def get(self, id: str) -> Connection | None:
        """Return the connection with this id, unless it has ended."""
        return self._by_id.get(id)

    def add(self, connection: Connection) -> None:
        """Add a request."""
        self._by_id[connection.id] = connection

    def establish(self, connection: Connection, now_us: int) -> None:
        """Record that the attempt of a connection has succeeded, so that the connection is open."""
        connection.establish(now_us)
        self._established[connection] = None

    def restore(self, connection: Connection, server: Server) -> None:
        """Add a connection that was open at a server before this balancer started."""
        self.add(connection)
        connection.restore(server)
        self._established[connection] = None

    def remove(self, connection: Connection) -> None:
        """End and remove a connection that is answered, closed or migrated, or has lost its client."""
        connection.end()
        self._by_id.pop(connection.id, None)
        self._established.pop(connection, None)

    @property
    def established(self) -> Collection[Connection]:
        """The open connections, in the order in which they were established."""
        return self._established.keys()

    def established_at(self, server: Server) -> list[Connection]:
        """Return the open connections of this server."""
        return [connection for connection in self._established if connection.server is server]

    def unanswered(self) -> list[Connection]:
        """Return the requests that have no final answer yet."""
        return [connection for connection in self._by_id.values() if connection not in self._established]
